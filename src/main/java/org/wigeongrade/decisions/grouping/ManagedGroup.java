package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmName;

/**
 * One group from the first join to the moment when its VMs are free again.
 *
 * <p>Invariants: the head is told to open only after every member reported to be ready under this group and epoch; the
 * group ends only once its head cannot serve any more: it was closed and left, its process ended, or a member left it
 * for longer than the engines' stall time. Time is a parameter. Not thread safe.
 */
final class ManagedGroup {
    final GroupName name;
    final long epoch;
    final GroupedModel model;
    final ImmutableList<GroupMember> members;
    private GroupPhase phase;
    private long phaseSinceNanos;
    private long nextCheckNanos;
    private long leftSinceNanos = Long.MIN_VALUE;
    /** False if the head of an inherited group was never heard from; then no member stands for it. */
    private final boolean headKnown;

    private boolean openSent;
    private boolean closed;
    private String cause = "formed";

    ManagedGroup(
            GroupName name,
            long epoch,
            GroupedModel model,
            List<GroupMember> members,
            GroupPhase phase,
            boolean openSent,
            long nowNanos) {
        this.name = name;
        this.epoch = epoch;
        this.model = model;
        this.members = ImmutableList.copyOf(members);
        this.phase = phase;
        this.openSent = openSent;
        this.headKnown = phase != GroupPhase.BREAKING;
        this.phaseSinceNanos = nowNanos;
        this.nextCheckNanos = nowNanos;
    }

    GroupMember head() {
        return members.get(0);
    }

    GroupPhase phase() {
        return phase;
    }

    /** Returns why the group is in its phase. */
    String cause() {
        return cause;
    }

    /** Returns whether the members lie in several fabric domains, which slows the group. */
    boolean spansDomains() {
        return members.stream().map(member -> member.domain).distinct().count() > 1;
    }

    boolean has(VmName vm) {
        return members.stream().anyMatch(member -> member.vm.vm().equals(vm));
    }

    /** Returns whether only one VM is kept warm here. */
    boolean isSpare() {
        return phase == GroupPhase.SPARE;
    }

    /** Gives the VM of a spare free at once; it was never opened. */
    void endSpare(long nowNanos) {
        become(GroupPhase.ENDED, "taken for a group", nowNanos);
    }

    /** Lets the head end its work, then ends the group. */
    void drain(String why, GroupSurroundings around) {
        become(GroupPhase.DRAINING, why, around.nowNanos());
    }

    void step(GroupSurroundings around) {
        switch (phase) {
            case FORMING -> form(around);
            case SPARE -> keepSpare(around);
            case OPENING -> open(around);
            case SERVING -> serve(around);
            case CHECKING -> check(around);
            case DRAINING -> drain(around);
            case CLOSING -> close(around);
            case BREAKING -> awaitBreak(around);
            case ENDED -> {}
        }
    }

    private void form(GroupSurroundings around) {
        final Optional<GroupMember> lost = members.stream()
                .filter(member -> around.isSilent(member) || around.isLeaving(member) || refused(member))
                .findFirst();
        if (lost.isPresent() || isOverdue(around)) {
            giveUp(
                    "member " + lost.map(member -> member.vm.toString()).orElse("-") + " cannot join",
                    around.nowNanos());
            return;
        }
        joinMembers(around);
        if (members.stream().allMatch(member -> isIn(member, GroupState.READY, around))) {
            openSent = true;
            order(head(), GroupOrderKind.OPEN, around);
            become(GroupPhase.OPENING, "every member is ready", around.nowNanos());
        }
    }

    private void keepSpare(GroupSurroundings around) {
        final GroupMember spare = head();
        if (around.isSilent(spare) || around.isLeaving(spare) || refused(spare)) {
            become(GroupPhase.ENDED, "spare " + spare.vm + " cannot be kept", around.nowNanos());
            return;
        }
        joinMembers(around);
    }

    private void joinMembers(GroupSurroundings around) {
        members.stream()
                .filter(member -> around.report(member).filter(this::isThis).isEmpty())
                .filter(member -> member.isDue(GroupOrderKind.JOIN, GroupTimings.JOIN_RESEND_NANOS, around.nowNanos()))
                .forEach(member -> order(member, GroupOrderKind.JOIN, around));
    }

    private void open(GroupSurroundings around) {
        if (isIn(head(), GroupState.OPEN, around)) {
            become(GroupPhase.SERVING, "the head serves", around.nowNanos());
            return;
        }
        final boolean late = around.nowNanos() - phaseSinceNanos > GroupTimings.OPEN_NANOS;
        final Optional<String> fault = faultOf(around);
        if (late || fault.isPresent()) {
            become(GroupPhase.CLOSING, fault.orElse("the head did not open"), around.nowNanos());
            return;
        }
        if (head().isDue(GroupOrderKind.OPEN, GroupTimings.ORDER_RESEND_NANOS, around.nowNanos())) {
            order(head(), GroupOrderKind.OPEN, around);
        }
    }

    private void serve(GroupSurroundings around) {
        final Optional<String> fault = faultOf(around);
        if (fault.isPresent()) {
            become(GroupPhase.CLOSING, fault.get(), around.nowNanos());
            return;
        }
        final Optional<GroupMember> leaving =
                members.stream().filter(around::isLeaving).findFirst();
        if (leaving.isPresent()) {
            become(GroupPhase.DRAINING, "member " + leaving.get().vm + " leaves", around.nowNanos());
            return;
        }
        if (isSuspect(around) && around.nowNanos() - nextCheckNanos >= 0) {
            members.forEach(GroupMember::forgetUnanswered);
            members.forEach(member -> order(member, GroupOrderKind.PROBE, around));
            become(GroupPhase.CHECKING, "no progress or a late heartbeat", around.nowNanos());
        }
    }

    private void check(GroupSurroundings around) {
        final Optional<String> fault = faultOf(around);
        if (fault.isPresent()) {
            become(GroupPhase.CLOSING, fault.get(), around.nowNanos());
            return;
        }
        final boolean progressed = around.evidenceOf(head()).progressedSince(phaseSinceNanos);
        if (progressed || members.stream().allMatch(member -> member.answeredSince(phaseSinceNanos))) {
            nextCheckNanos = around.nowNanos() + GroupTimings.PROBE_PAUSE_NANOS;
            become(GroupPhase.SERVING, "every member answers", around.nowNanos());
            return;
        }
        final Optional<GroupMember> lost = members.stream()
                .filter(member -> !member.answeredSince(phaseSinceNanos) && isLost(member))
                .findFirst();
        if (lost.isPresent()) {
            become(GroupPhase.CLOSING, "member " + lost.get().vm + " does not answer", around.nowNanos());
            return;
        }
        members.stream()
                .filter(member -> !member.answeredSince(phaseSinceNanos))
                .filter(member ->
                        member.isDue(GroupOrderKind.PROBE, GroupTimings.PROBE_RESEND_NANOS, around.nowNanos()))
                .forEach(member -> order(member, GroupOrderKind.PROBE, around));
    }

    private static boolean isLost(GroupMember member) {
        final Optional<OrderAnswer> answer = member.answerTo(GroupOrderKind.PROBE);
        final boolean anotherProcess = answer.filter(
                        given -> given == OrderAnswer.NO_LISTENER || given == OrderAnswer.ENDED)
                .isPresent();
        return anotherProcess || member.unanswered() >= GroupTimings.LOST_PROBES;
    }

    private void drain(GroupSurroundings around) {
        final long elapsedNanos = around.nowNanos() - phaseSinceNanos;
        if (faultOf(around).isPresent() || elapsedNanos > GroupTimings.DRAIN_NANOS || isClosed(head())) {
            become(GroupPhase.CLOSING, cause, around.nowNanos());
            return;
        }
        if (elapsedNanos > GroupTimings.DRAIN_NOTICE_NANOS
                && head().isDue(GroupOrderKind.CLOSE_WHEN_DONE, GroupTimings.ORDER_RESEND_NANOS, around.nowNanos())) {
            order(head(), GroupOrderKind.CLOSE_WHEN_DONE, around);
        }
    }

    private void close(GroupSurroundings around) {
        if (around.record(head()).isEmpty()) {
            become(GroupPhase.ENDED, cause, around.nowNanos());
            return;
        }
        if (head().answerTo(GroupOrderKind.LEAVE).filter(OrderAnswer::showsLife).isPresent()) {
            become(GroupPhase.ENDED, cause, around.nowNanos());
            return;
        }
        if (head().unanswered() > 0) {
            become(GroupPhase.BREAKING, cause + "; the head does not answer", around.nowNanos());
            return;
        }
        closed = closed || isClosed(head());
        final GroupOrderKind next = closed ? GroupOrderKind.LEAVE : GroupOrderKind.CLOSE_NOW;
        final boolean begun =
                head().answerTo(next).filter(OrderAnswer.BEGUN::equals).isPresent();
        final long resendNanos = begun ? GroupTimings.CLOSING_POLL_NANOS : GroupTimings.ORDER_RESEND_NANOS;
        if (head().isDue(next, resendNanos, around.nowNanos())) {
            order(head(), next, around);
        }
    }

    /** The order to close counts once the head says that it is done or that it is not open in this group. */
    private static boolean isClosed(GroupMember head) {
        return head.answerTo(GroupOrderKind.CLOSE_NOW)
                .or(() -> head.answerTo(GroupOrderKind.CLOSE_WHEN_DONE))
                .filter(answer -> answer == OrderAnswer.DONE || answer == OrderAnswer.REFUSED)
                .isPresent();
    }

    private void awaitBreak(GroupSurroundings around) {
        final boolean waited = leftSinceNanos != Long.MIN_VALUE
                && around.nowNanos() - leftSinceNanos >= around.timings().surelyBrokenNanos();
        if (waited || (headKnown && headStopped(around))) {
            become(GroupPhase.ENDED, cause, around.nowNanos());
            return;
        }
        noteFirstMemberThatLeft(around.nowNanos());
        members.stream()
                .filter(member -> !hasLeft(member))
                .filter(member ->
                        member.isDue(GroupOrderKind.LEAVE, GroupTimings.ORDER_RESEND_NANOS, around.nowNanos()))
                .forEach(member -> order(member, GroupOrderKind.LEAVE, around));
    }

    /** Returns whether the head ended, broke, or left the group after all. */
    private boolean headStopped(GroupSurroundings around) {
        return around.record(head()).isEmpty()
                || (isIn(head(), GroupState.BROKEN, around) && !around.isLate(head()))
                || head().hasNoListener()
                || hasLeft(head());
    }

    private void noteFirstMemberThatLeft(long nowNanos) {
        final boolean anyLeft = members.stream().skip(headKnown ? 1 : 0).anyMatch(ManagedGroup::hasLeft);
        if (anyLeft && leftSinceNanos == Long.MIN_VALUE) {
            leftSinceNanos = nowNanos;
        }
    }

    private static boolean hasLeft(GroupMember member) {
        return member.answerTo(GroupOrderKind.LEAVE)
                .filter(OrderAnswer::showsLife)
                .isPresent();
    }

    /** Returns what proves that the group cannot serve any more. */
    private Optional<String> faultOf(GroupSurroundings around) {
        for (final GroupMember member : members) {
            if (around.record(member).isEmpty()) {
                return Optional.of("member " + member.vm + " ended");
            }
            if (reportsOtherwise(member, around)) {
                return Optional.of("member " + member.vm + " is not in the group");
            }
        }
        final boolean headStopped = heardSince(head(), around)
                && around.report(head())
                        .filter(report -> isThis(report) && isStopped(report.state()))
                        .isPresent();
        return headStopped ? Optional.of("the head reports that it does not serve") : Optional.empty();
    }

    private boolean isStopped(GroupState state) {
        return state == GroupState.BROKEN || (phase.isRoutable() && state != GroupState.OPEN);
    }

    private boolean reportsOtherwise(GroupMember member, GroupSurroundings around) {
        return heardSince(member, around)
                && around.report(member).filter(this::isThis).isEmpty();
    }

    private boolean heardSince(GroupMember member, GroupSurroundings around) {
        return around.record(member)
                .map(VmRecord::heardNanos)
                .filter(heardNanos -> heardNanos - phaseSinceNanos >= 0)
                .isPresent();
    }

    private boolean isSuspect(GroupSurroundings around) {
        final EndpointEvidence evidence = around.evidenceOf(head());
        if (evidence.refusedConnection()) {
            return true;
        }
        if (progresses(around)) {
            return false;
        }
        final boolean stalled = evidence.inFlight() > 0 && evidence.stalledMs() >= GroupTimings.STALLED_MS;
        return stalled || members.stream().anyMatch(around::isLate);
    }

    private boolean progresses(GroupSurroundings around) {
        final EndpointEvidence evidence = around.evidenceOf(head());
        final boolean stalled = evidence.inFlight() > 0 && evidence.stalledMs() >= GroupTimings.STALLED_MS;
        return !stalled && evidence.progressedWithin(GroupTimings.PROGRESS_NANOS, around.nowNanos());
    }

    private boolean isIn(GroupMember member, GroupState state, GroupSurroundings around) {
        return around.report(member)
                .filter(report -> isThis(report) && report.state() == state)
                .isPresent();
    }

    private boolean isThis(GroupReport report) {
        return report.group().equals(name) && report.epoch() == epoch;
    }

    private static boolean refused(GroupMember member) {
        return member.answerTo(GroupOrderKind.JOIN)
                        .filter(answer -> answer == OrderAnswer.REFUSED || answer == OrderAnswer.ENDED)
                        .isPresent()
                || member.unanswered() > 1;
    }

    private boolean isOverdue(GroupSurroundings around) {
        final long patienceMs = GroupTimings.LOAD_PATIENCE * (model.loadMs() + model.warmupMs());
        return around.nowNanos() - phaseSinceNanos > TimeUnit.MILLISECONDS.toNanos(patienceMs);
    }

    private void giveUp(String why, long nowNanos) {
        become(openSent ? GroupPhase.CLOSING : GroupPhase.ENDED, why, nowNanos);
    }

    private void order(GroupMember member, GroupOrderKind kind, GroupSurroundings around) {
        member.sent(kind, around.nowNanos());
        around.orders()
                .accept(new GroupOrder(
                        kind,
                        member.vm,
                        member.address,
                        around.fencingTerm(),
                        name,
                        epoch,
                        model.name(),
                        members.stream().map(each -> each.vm.vm()).toList()));
    }

    private void become(GroupPhase next, String why, long nowNanos) {
        phase = next;
        phaseSinceNanos = nowNanos;
        cause = why;
    }
}

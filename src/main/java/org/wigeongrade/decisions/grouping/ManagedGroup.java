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
 * Manages a group from the first join until its VMs are free again.
 *
 * <p>Invariants: the head is ordered to open only after every member has reported that it is ready in this group and
 * epoch, and after the log holds the group. The group ends only once its head can no longer serve: the head has closed and left, its process has ended, or
 * a member left longer ago than the engines' stall time. Spares and groups that were never ordered to open end at once.
 * Time is a parameter. Not thread safe.
 */
final class ManagedGroup {
    final GroupName name;
    final long epoch;
    final GroupedModel model;
    final ImmutableList<GroupMember> members;
    private GroupPhase phase;
    private long phaseSinceNanos;
    private long nextCheckNanos;
    private long firstDepartureNanos = Long.MIN_VALUE;
    /** False if the head of an inherited group has sent no heartbeat; the head is then missing from the members. */
    private final boolean headKnown;

    private boolean openSent;
    /** Time at which this leader, or possibly an earlier one, last ordered the head to open. */
    private long lastOpenSentNanos;
    /** Whether the head is known to have served. */
    private boolean opened;

    private boolean headClosed;
    /** Whether the group is checked since connections to its head are refused, which silence does not explain. */
    private boolean connectionsRefused;

    private String cause = "formed";
    private Optional<GroupEndEvidence> endEvidence = Optional.empty();

    ManagedGroup(
            GroupName name,
            long epoch,
            GroupedModel model,
            List<GroupMember> members,
            GroupPhase phase,
            boolean openSent,
            boolean opened,
            long nowNanos) {
        this.name = name;
        this.epoch = epoch;
        this.model = model;
        this.members = ImmutableList.copyOf(members);
        this.phase = phase;
        this.openSent = openSent;
        this.opened = opened;
        this.lastOpenSentNanos = nowNanos;
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

    /** Returns why the group entered its current phase. */
    String cause() {
        return cause;
    }

    /** Returns why the head cannot serve any more; empty until the group has ended. */
    Optional<GroupEndEvidence> endEvidence() {
        return endEvidence;
    }

    /** Returns whether the members are in several fabric domains, which slows the group down. */
    boolean spansDomains() {
        return members.stream().map(member -> member.domain).distinct().count() > 1;
    }

    boolean hasMember(VmName vm) {
        return members.stream().anyMatch(member -> member.vm.vm().equals(vm));
    }

    /** Returns whether this is a warm spare: one VM that serves no requests. */
    boolean isSpare() {
        return phase == GroupPhase.SPARE;
    }

    /** Returns whether the head is known to have served. */
    boolean hasOpened() {
        return opened;
    }

    /** Returns whether the head is known, and may serve now or later. */
    boolean mayServe() {
        return headKnown && phase != GroupPhase.SPARE && phase != GroupPhase.ENDED;
    }

    /** Ends a spare at once, since it was never opened; its VM becomes free. */
    void endSpare(long nowNanos) {
        end(GroupEndEvidence.NEVER_OPENED, "its VM joins a group that will serve", nowNanos);
    }

    /** Ends the group after its head has finished its requests. */
    void drain(String reason, PlanningContext context) {
        enterPhase(GroupPhase.DRAINING, reason, context.nowNanos());
    }

    void step(PlanningContext context) {
        switch (phase) {
            case FORMING -> form(context);
            case SPARE -> keepSpare(context);
            case OPENING -> open(context);
            case SERVING -> serve(context);
            case CHECKING -> check(context);
            case DRAINING -> drain(context);
            case CLOSING -> close(context);
            case BREAKING -> awaitHeadBroken(context);
            case ENDED -> {}
        }
    }

    private void form(PlanningContext context) {
        final Optional<GroupMember> lost = members.stream()
                .filter(member -> context.isSilent(member) || context.isLeaving(member) || cannotJoin(member))
                .findFirst();
        if (lost.isPresent() || isFormationOverdue(context)) {
            abort(
                    "member " + lost.map(member -> member.vm.toString()).orElse("-") + " cannot join",
                    context.nowNanos());
            return;
        }
        joinMembers(context);
        if (members.stream().allMatch(member -> reportsState(member, GroupState.READY, context))
                && context.ledger().permitsOpening(name, epoch)) {
            openSent = true;
            sendOpen(context);
            enterPhase(GroupPhase.OPENING, "every member is ready", context.nowNanos());
        }
    }

    private void keepSpare(PlanningContext context) {
        final GroupMember spare = head();
        if (context.isSilent(spare) || context.isLeaving(spare) || cannotJoin(spare)) {
            end(GroupEndEvidence.NEVER_OPENED, "spare " + spare.vm + " cannot be kept", context.nowNanos());
            return;
        }
        joinMembers(context);
    }

    private void joinMembers(PlanningContext context) {
        members.stream()
                .filter(member -> context.report(member).filter(this::matches).isEmpty())
                .filter(member -> member.isDue(GroupOrderKind.JOIN, GroupTimings.JOIN_RESEND_NANOS, context.nowNanos()))
                .forEach(member -> sendOrder(member, GroupOrderKind.JOIN, context));
    }

    private void open(PlanningContext context) {
        if (reportsState(head(), GroupState.OPEN, context)) {
            opened = true;
            enterPhase(GroupPhase.SERVING, "the head serves", context.nowNanos());
            return;
        }
        final boolean late = context.nowNanos() - phaseSinceNanos > GroupTimings.OPEN_TIMEOUT_NANOS;
        final Optional<String> fault = findFault(context);
        if (late || fault.isPresent()) {
            enterPhase(GroupPhase.CLOSING, fault.orElse("the head did not open"), context.nowNanos());
            return;
        }
        if (head().isDue(GroupOrderKind.OPEN, GroupTimings.ORDER_RESEND_NANOS, context.nowNanos())) {
            sendOpen(context);
        }
    }

    private void sendOpen(PlanningContext context) {
        lastOpenSentNanos = context.nowNanos();
        sendOrder(head(), GroupOrderKind.OPEN, context);
    }

    private void serve(PlanningContext context) {
        final Optional<String> fault = findFault(context);
        if (fault.isPresent()) {
            enterPhase(GroupPhase.CLOSING, fault.get(), context.nowNanos());
            return;
        }
        final Optional<GroupMember> leaving =
                members.stream().filter(context::isLeaving).findFirst();
        if (leaving.isPresent()) {
            enterPhase(GroupPhase.DRAINING, "member " + leaving.get().vm + " leaves", context.nowNanos());
            return;
        }
        if (isSuspect(context) && context.nowNanos() - nextCheckNanos >= 0) {
            connectionsRefused = context.observationOf(head()).refusedConnection();
            members.forEach(GroupMember::resetUnansweredOrders);
            members.forEach(member -> sendOrder(member, GroupOrderKind.PROBE, context));
            enterPhase(
                    GroupPhase.CHECKING, "no progress, a refused connection or a late heartbeat", context.nowNanos());
        }
    }

    private void check(PlanningContext context) {
        final Optional<String> fault = findFault(context);
        if (fault.isPresent()) {
            enterPhase(GroupPhase.CLOSING, fault.get(), context.nowNanos());
            return;
        }
        connectionsRefused |= context.observationOf(head()).refusedConnection();
        final boolean progressed = context.observationOf(head()).progressedSince(phaseSinceNanos);
        if (progressed || members.stream().allMatch(member -> member.respondedSince(phaseSinceNanos))) {
            nextCheckNanos = context.nowNanos() + GroupTimings.PROBE_PAUSE_NANOS;
            enterPhase(GroupPhase.SERVING, "the group makes progress or every member answers", context.nowNanos());
            return;
        }
        final Optional<GroupMember> lost = members.stream()
                .filter(member -> !member.respondedSince(phaseSinceNanos) && isLost(member, context))
                .findFirst();
        if (lost.isPresent()) {
            enterPhase(GroupPhase.CLOSING, "member " + lost.get().vm + " does not answer", context.nowNanos());
            return;
        }
        members.stream()
                .filter(member -> !member.respondedSince(phaseSinceNanos))
                .filter(member ->
                        member.isDue(GroupOrderKind.PROBE, GroupTimings.PROBE_RESEND_NANOS, context.nowNanos()))
                .forEach(member -> sendOrder(member, GroupOrderKind.PROBE, context));
    }

    private boolean isLost(GroupMember member, PlanningContext context) {
        final Optional<OrderResponse> response = member.responseTo(GroupOrderKind.PROBE);
        final boolean processGone = response.filter(
                        given -> given == OrderResponse.NO_LISTENER || given == OrderResponse.ENDED)
                .isPresent();
        return processGone
                || (member.unansweredOrders() >= GroupTimings.MAX_UNANSWERED_PROBES
                        && (connectionsRefused || isSilentForTooLong(member, context)));
    }

    private boolean isSilentForTooLong(GroupMember member, PlanningContext context) {
        final long heardNanos =
                context.record(member).map(VmRecord::receivedNanos).orElse(phaseSinceNanos);
        final long silentSinceNanos = phaseSinceNanos + Math.max(0, heardNanos - phaseSinceNanos);
        return context.nowNanos() - silentSinceNanos >= GroupTimings.MAX_SILENCE_NANOS;
    }

    private void drain(PlanningContext context) {
        final long elapsedNanos = context.nowNanos() - phaseSinceNanos;
        if (findFault(context).isPresent() || elapsedNanos > GroupTimings.DRAIN_TIMEOUT_NANOS || isClosed(head())) {
            enterPhase(GroupPhase.CLOSING, cause, context.nowNanos());
            return;
        }
        if (elapsedNanos > GroupTimings.ROUTING_UPDATE_NANOS
                && head().isDue(GroupOrderKind.CLOSE_WHEN_DONE, GroupTimings.ORDER_RESEND_NANOS, context.nowNanos())) {
            sendOrder(head(), GroupOrderKind.CLOSE_WHEN_DONE, context);
        }
    }

    private void close(PlanningContext context) {
        if (context.hasEnded(head())) {
            end(GroupEndEvidence.HEAD_REPLACED, cause, context.nowNanos());
            return;
        }
        if (isOut(head(), context)) {
            end(GroupEndEvidence.HEAD_LEFT, cause, context.nowNanos());
            return;
        }
        if (head().unansweredOrders() > 0) {
            enterPhase(GroupPhase.BREAKING, cause + "; the head does not answer", context.nowNanos());
            return;
        }
        headClosed = headClosed || isClosed(head());
        final GroupOrderKind next = headClosed ? GroupOrderKind.LEAVE : GroupOrderKind.CLOSE_NOW;
        final boolean begun =
                head().responseTo(next).filter(OrderResponse.BEGUN::equals).isPresent();
        final long resendNanos = begun ? GroupTimings.CLOSING_POLL_NANOS : GroupTimings.ORDER_RESEND_NANOS;
        if (head().isDue(next, resendNanos, context.nowNanos())) {
            sendOrder(head(), next, context);
        }
    }

    /**
     * Returns whether the head is closed: it responded to the order to close with {@link OrderResponse#DONE}, or
     * refused it because it is not open in this group.
     */
    private static boolean isClosed(GroupMember head) {
        return head.responseTo(GroupOrderKind.CLOSE_NOW)
                .or(() -> head.responseTo(GroupOrderKind.CLOSE_WHEN_DONE))
                .filter(response -> response == OrderResponse.DONE || response == OrderResponse.REFUSED)
                .isPresent();
    }

    private void awaitHeadBroken(PlanningContext context) {
        final Optional<GroupEndEvidence> evidence = findHeadStopped(context);
        if (evidence.isPresent()) {
            end(evidence.get(), cause, context.nowNanos());
            return;
        }
        recordFirstDeparture(context);
        members.stream()
                .filter(member -> !isOut(member, context))
                .filter(member ->
                        member.isDue(GroupOrderKind.LEAVE, GroupTimings.ORDER_RESEND_NANOS, context.nowNanos()))
                .forEach(member -> sendOrder(member, GroupOrderKind.LEAVE, context));
    }

    /** Returns why the head cannot serve any more; empty if it may. */
    private Optional<GroupEndEvidence> findHeadStopped(PlanningContext context) {
        if (hasStallTimePassed(context)) {
            return Optional.of(GroupEndEvidence.STALL_TIME_PASSED);
        }
        if (!headKnown) {
            return Optional.empty();
        }
        if (context.hasEnded(head())) {
            return Optional.of(GroupEndEvidence.HEAD_REPLACED);
        }
        if (reportsState(head(), GroupState.BROKEN, context) && !context.isHeartbeatLate(head())) {
            return Optional.of(GroupEndEvidence.HEAD_BROKEN);
        }
        return isOut(head(), context) ? Optional.of(GroupEndEvidence.HEAD_LEFT) : Optional.empty();
    }

    private void recordFirstDeparture(PlanningContext context) {
        final boolean anyOut = members.stream()
                .skip(headKnown ? 1 : 0)
                .anyMatch(member -> isOut(member, context) || context.hasEnded(member));
        if (!anyOut) {
            firstDepartureNanos = Long.MIN_VALUE;
        } else if (firstDepartureNanos == Long.MIN_VALUE) {
            firstDepartureNanos = context.nowNanos();
        }
    }

    /**
     * Returns whether the head has stalled for so long that it is broken. A head that was not open when the member left does
     * not stall before it opens, which a late order may still cause.
     */
    private boolean hasStallTimePassed(PlanningContext context) {
        if (firstDepartureNanos == Long.MIN_VALUE) {
            return false;
        }
        final long mayOpenUntilNanos = lastOpenSentNanos + GroupTimings.MAX_ORDER_DELAY_NANOS;
        final long stalledSinceNanos = opened
                ? firstDepartureNanos
                : firstDepartureNanos + Math.max(0, mayOpenUntilNanos - firstDepartureNanos);
        return context.nowNanos() - stalledSinceNanos >= context.timings().headBrokenAfterNanos();
    }

    /** Returns whether the member has left and has not reported the group since, as a join that is carried out late makes it. */
    private boolean isOut(GroupMember member, PlanningContext context) {
        final boolean reportedSince = context.record(member)
                .filter(vm -> member.respondedBefore(vm.receivedNanos()))
                .flatMap(vm -> vm.heartbeat().group())
                .filter(this::matches)
                .isPresent();
        return hasLeft(member) && !reportedSince;
    }

    private static boolean hasLeft(GroupMember member) {
        return member.responseTo(GroupOrderKind.LEAVE)
                .filter(OrderResponse::isFromLiveVm)
                .isPresent();
    }

    /** Returns a message about the fault that keeps the group from serving; empty if there is none. */
    private Optional<String> findFault(PlanningContext context) {
        for (final GroupMember member : members) {
            if (context.hasEnded(member)) {
                return Optional.of("member " + member.vm + " ended");
            }
            if (reportsOtherGroup(member, context)) {
                return Optional.of("member " + member.vm + " is not in the group");
            }
        }
        final boolean headStopped = sentHeartbeatInPhase(head(), context)
                && context.report(head())
                        .filter(report -> matches(report) && isStopped(report.state()))
                        .isPresent();
        return headStopped ? Optional.of("the head reports that it does not serve") : Optional.empty();
    }

    private boolean isStopped(GroupState state) {
        return state == GroupState.BROKEN || (phase.isRoutable() && state != GroupState.OPEN);
    }

    private boolean reportsOtherGroup(GroupMember member, PlanningContext context) {
        return sentHeartbeatInPhase(member, context)
                && context.report(member).filter(this::matches).isEmpty();
    }

    private boolean sentHeartbeatInPhase(GroupMember member, PlanningContext context) {
        return context.record(member)
                .map(VmRecord::receivedNanos)
                .filter(receivedNanos -> receivedNanos - phaseSinceNanos >= 0)
                .isPresent();
    }

    private boolean isSuspect(PlanningContext context) {
        final EndpointObservation observation = context.observationOf(head());
        if (observation.refusedConnection()) {
            return true;
        }
        if (isProgressing(context)) {
            return false;
        }
        final boolean stalled = observation.inFlight() > 0 && observation.shortestStallMs() >= GroupTimings.STALLED_MS;
        return stalled || (context.lateHeartbeatsCount() && members.stream().anyMatch(context::isHeartbeatLate));
    }

    private boolean isProgressing(PlanningContext context) {
        final EndpointObservation observation = context.observationOf(head());
        final boolean stalled = observation.inFlight() > 0 && observation.shortestStallMs() >= GroupTimings.STALLED_MS;
        return !stalled && observation.progressedWithin(GroupTimings.RECENT_PROGRESS_NANOS, context.nowNanos());
    }

    private boolean reportsState(GroupMember member, GroupState state, PlanningContext context) {
        return context.report(member)
                .filter(report -> matches(report) && report.state() == state)
                .isPresent();
    }

    private boolean matches(GroupReport report) {
        return report.group().equals(name) && report.epoch() == epoch;
    }

    private static boolean cannotJoin(GroupMember member) {
        return member.responseTo(GroupOrderKind.JOIN)
                        .filter(response -> response == OrderResponse.REFUSED || response == OrderResponse.ENDED)
                        .isPresent()
                || member.unansweredOrders() > 1;
    }

    private boolean isFormationOverdue(PlanningContext context) {
        final long timeoutMs = GroupTimings.LOAD_TIMEOUT_FACTOR * (model.loadMs() + model.warmupMs());
        return context.nowNanos() - phaseSinceNanos > TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    private void abort(String reason, long nowNanos) {
        if (openSent) {
            enterPhase(GroupPhase.CLOSING, reason, nowNanos);
        } else {
            end(GroupEndEvidence.NEVER_OPENED, reason, nowNanos);
        }
    }

    private void sendOrder(GroupMember member, GroupOrderKind kind, PlanningContext context) {
        member.recordSent(kind, context.nowNanos());
        context.orders()
                .accept(new GroupOrder(
                        kind,
                        member.vm,
                        member.address,
                        context.fencingTerm(),
                        name,
                        epoch,
                        model.name(),
                        members.stream().map(each -> each.vm.vm()).toList()));
    }

    private void end(GroupEndEvidence evidence, String reason, long nowNanos) {
        endEvidence = Optional.of(evidence);
        enterPhase(GroupPhase.ENDED, reason, nowNanos);
    }

    private void enterPhase(GroupPhase next, String reason, long nowNanos) {
        phase = next;
        phaseSinceNanos = nowNanos;
        cause = reason;
    }
}

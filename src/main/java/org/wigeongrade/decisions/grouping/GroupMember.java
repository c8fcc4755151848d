package org.wigeongrade.decisions.grouping;

import java.util.Optional;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.VmIncarnation;

/** A member of one group and the latest order that it was given there. Not thread safe. */
final class GroupMember {
    final VmIncarnation vm;
    final String address;
    final Optional<FabricDomain> domain;
    private Optional<GroupOrderKind> lastKind = Optional.empty();
    private Optional<OrderAnswer> lastAnswer = Optional.empty();
    private long lastSentNanos;
    private int unanswered;
    private int refusedConnections;
    /** When the member last answered an order or probe; {@link Long#MIN_VALUE} if never. */
    private long answeredNanos = Long.MIN_VALUE;

    GroupMember(VmHeartbeat vm) {
        this.vm = vm.vm();
        this.address = vm.address();
        this.domain = vm.domain();
    }

    /** Returns whether the order was not given as the latest one, or is due again because nothing came of it. */
    boolean isDue(GroupOrderKind kind, long resendNanos, long nowNanos) {
        final long waitNanos = unanswered > GroupTimings.QUICK_RESENDS ? GroupTimings.SLOW_RESEND_NANOS : resendNanos;
        return lastKind.filter(kind::equals).isEmpty() || nowNanos - lastSentNanos >= waitNanos;
    }

    void sent(GroupOrderKind kind, long nowNanos) {
        if (lastKind.filter(kind::equals).isEmpty()) {
            unanswered = 0;
        }
        lastKind = Optional.of(kind);
        lastAnswer = Optional.empty();
        lastSentNanos = nowNanos;
    }

    void answered(GroupOrderKind kind, OrderAnswer answer, long nowNanos) {
        if (answer.showsLife()) {
            answeredNanos = nowNanos;
        }
        refusedConnections = answer == OrderAnswer.NO_LISTENER ? refusedConnections + 1 : 0;
        if (lastKind.filter(kind::equals).isEmpty()) {
            return;
        }
        lastAnswer = Optional.of(answer);
        unanswered = answer.showsLife() ? 0 : unanswered + 1;
    }

    /** Counts orders without an answer anew, for a new round of probes. */
    void forgetUnanswered() {
        unanswered = 0;
    }

    /** Returns the answer to the latest order if it was of this kind. */
    Optional<OrderAnswer> answerTo(GroupOrderKind kind) {
        return lastKind.filter(kind::equals).flatMap(unused -> lastAnswer);
    }

    /** Returns how many times in a row the latest kind of order got no answer. */
    int unanswered() {
        return unanswered;
    }

    /** Returns whether the address refused connections twice in a row, as it does once the process has ended. */
    boolean hasNoListener() {
        return refusedConnections > 1;
    }

    boolean answeredSince(long sinceNanos) {
        return answeredNanos != Long.MIN_VALUE && answeredNanos - sinceNanos >= 0;
    }
}

package org.wigeongrade.decisions.grouping;

import java.util.Optional;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.VmIncarnation;

/** A member of a group and the latest order sent to it for this group. Not thread safe. */
final class GroupMember {
    final VmIncarnation vm;
    final String address;
    final Optional<FabricDomain> domain;
    private Optional<GroupOrderKind> lastOrderKind = Optional.empty();
    private Optional<OrderAnswer> lastAnswer = Optional.empty();
    private long lastSentNanos;
    private int unansweredOrders;
    private int refusedConnections;
    /** Time at which the member last answered an order or probe; {@link Long#MIN_VALUE} if never. */
    private long lastAnsweredNanos = Long.MIN_VALUE;

    GroupMember(VmHeartbeat vm) {
        this.vm = vm.vm();
        this.address = vm.address();
        this.domain = vm.domain();
    }

    /** Returns whether to send the order: it differs from the latest one, or the resend interval has passed. */
    boolean isDue(GroupOrderKind kind, long resendNanos, long nowNanos) {
        final long waitNanos =
                unansweredOrders > GroupTimings.MAX_QUICK_RESENDS ? GroupTimings.SLOW_RESEND_NANOS : resendNanos;
        return lastOrderKind.filter(kind::equals).isEmpty() || nowNanos - lastSentNanos >= waitNanos;
    }

    void recordSent(GroupOrderKind kind, long nowNanos) {
        if (lastOrderKind.filter(kind::equals).isEmpty()) {
            unansweredOrders = 0;
        }
        lastOrderKind = Optional.of(kind);
        lastAnswer = Optional.empty();
        lastSentNanos = nowNanos;
    }

    void recordAnswer(GroupOrderKind kind, OrderAnswer answer, long nowNanos) {
        if (answer.isFromLiveVm()) {
            lastAnsweredNanos = nowNanos;
        }
        refusedConnections = answer == OrderAnswer.NO_LISTENER ? refusedConnections + 1 : 0;
        if (lastOrderKind.filter(kind::equals).isEmpty()) {
            return;
        }
        lastAnswer = Optional.of(answer);
        unansweredOrders = answer.isFromLiveVm() ? 0 : unansweredOrders + 1;
    }

    /** Resets the count of unanswered orders before a new round of probes. */
    void resetUnansweredOrders() {
        unansweredOrders = 0;
    }

    /** Returns the answer to the latest order if that order was of the given kind. */
    Optional<OrderAnswer> answerTo(GroupOrderKind kind) {
        return lastOrderKind.filter(kind::equals).flatMap(unused -> lastAnswer);
    }

    /** Returns the number of consecutive orders of the latest kind that got no answer. */
    int unansweredOrders() {
        return unansweredOrders;
    }

    /** Returns whether the address refused two connections in a row, which means that the process has ended. */
    boolean hasNoListener() {
        return refusedConnections > 1;
    }

    boolean answeredSince(long sinceNanos) {
        return lastAnsweredNanos != Long.MIN_VALUE && lastAnsweredNanos - sinceNanos >= 0;
    }
}

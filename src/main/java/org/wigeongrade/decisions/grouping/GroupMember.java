package org.wigeongrade.decisions.grouping;

import java.util.Optional;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.published.RecordedMember;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.VmIncarnation;

/** A member of a group and the latest order sent to it for this group. Not thread safe. */
final class GroupMember {
    final VmIncarnation vm;
    final String address;
    final Optional<FabricDomain> domain;
    private Optional<GroupOrderKind> lastOrderKind = Optional.empty();
    private Optional<OrderResponse> lastResponse = Optional.empty();
    private long lastSentNanos;
    private int unansweredOrders;
    private boolean ended;
    /** Time at which the member last responded to an order or probe; {@link Long#MIN_VALUE} if never. */
    private long lastRespondedNanos = Long.MIN_VALUE;

    GroupMember(VmHeartbeat vm) {
        this(vm.vm(), vm.address(), vm.domain());
    }

    GroupMember(RecordedMember member) {
        this(member.vm(), member.address(), member.domain());
    }

    private GroupMember(VmIncarnation vm, String address, Optional<FabricDomain> domain) {
        this.vm = vm;
        this.address = address;
        this.domain = domain;
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
        lastResponse = Optional.empty();
        lastSentNanos = nowNanos;
    }

    void recordResponse(GroupOrderKind kind, OrderResponse response, long nowNanos) {
        if (response.isFromLiveVm()) {
            lastRespondedNanos = nowNanos;
        }
        ended |= response == OrderResponse.ENDED;
        if (lastOrderKind.filter(kind::equals).isEmpty()) {
            return;
        }
        lastResponse = Optional.of(response);
        unansweredOrders = response.isFromLiveVm() ? 0 : unansweredOrders + 1;
    }

    /** Returns whether its address responded as another process. */
    boolean hasEnded() {
        return ended;
    }

    /** Resets the count of unanswered orders before a new round of probes. */
    void resetUnansweredOrders() {
        unansweredOrders = 0;
    }

    /** Returns the response to the latest order if that order was of the given kind. */
    Optional<OrderResponse> responseTo(GroupOrderKind kind) {
        return lastOrderKind.filter(kind::equals).flatMap(unused -> lastResponse);
    }

    /** Returns the number of consecutive orders of the latest kind that got no response. */
    int unansweredOrders() {
        return unansweredOrders;
    }

    /** Returns whether the member last responded before the given time. */
    boolean respondedBefore(long nowNanos) {
        return lastRespondedNanos != Long.MIN_VALUE && nowNanos - lastRespondedNanos > 0;
    }

    boolean respondedSince(long sinceNanos) {
        return lastRespondedNanos != Long.MIN_VALUE && lastRespondedNanos - sinceNanos >= 0;
    }
}

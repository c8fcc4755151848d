package org.wigeongrade.nodes.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.placement.Order;
import org.wigeongrade.decisions.placement.OrderKind;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Limits how often the same order is sent again to a VM.
 *
 * <p>Invariant: the same order to the same incarnation of a VM is permitted at most once in each interval. Used by one
 * thread.
 */
final class OrderRateLimiter {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_ENTRIES = 20_000;

    private record OrderKey(VmIncarnation vm, OrderKind kind, FencingToken token) {}

    private final Map<OrderKey, Long> nextDueNanos = new HashMap<>();

    /** Returns whether the order may be sent now; if so, records that it is sent. */
    boolean tryAcquire(Order order, long nowNanos) {
        final OrderKey key = new OrderKey(order.vm(), order.kind(), order.fencingToken());
        final Long dueNanos = nextDueNanos.get(key);
        if (dueNanos != null && nowNanos - dueNanos < 0) {
            return false;
        }
        if (nextDueNanos.size() >= MAX_ENTRIES) {
            nextDueNanos.values().removeIf(entryDueNanos -> nowNanos - entryDueNanos >= 0);
        }
        nextDueNanos.put(key, nowNanos + INTERVAL_NANOS);
        return true;
    }
}

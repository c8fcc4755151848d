package org.wigeongrade.nodes.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.placement.Order;
import org.wigeongrade.decisions.placement.OrderKind;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Spaces out repeats of one order to one VM.
 *
 * <p>Invariant: one order to one incarnation is due at most once in each interval. Used by one thread.
 */
final class OrderPacing {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_KEPT = 20_000;

    private record Sent(VmIncarnation vm, OrderKind kind, FencingToken token) {}

    private final Map<Sent, Long> nextDueNanos = new HashMap<>();

    boolean isDue(Order order, long nowNanos) {
        final Sent key = new Sent(order.vm(), order.kind(), order.fencingToken());
        final Long due = nextDueNanos.get(key);
        if (due != null && nowNanos - due < 0) {
            return false;
        }
        if (nextDueNanos.size() >= MAX_KEPT) {
            nextDueNanos.values().removeIf(kept -> nowNanos - kept >= 0);
        }
        nextDueNanos.put(key, nowNanos + INTERVAL_NANOS);
        return true;
    }
}

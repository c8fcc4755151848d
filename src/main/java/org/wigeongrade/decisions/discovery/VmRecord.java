package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.VmIncarnation;

/**
 * The latest heartbeat of a VM and what became of it. Immutable; safe for use from any thread.
 *
 * @param heardNanos when the heartbeat was received, on the monotonic clock of this node
 * @param coldUntilNanos end of the cold start on the same clock; in the past if warm
 * @param departed whether the VM said that it leaves for good
 * @param ended whether the incarnation is known to have ended
 */
public record VmRecord(VmHeartbeat heartbeat, long heardNanos, long coldUntilNanos, boolean departed, boolean ended) {
    public VmIncarnation vm() {
        return heartbeat.vm();
    }

    /** Returns whether the VM neither leaves nor has left. */
    public boolean isStaying() {
        return !heartbeat.draining() && !departed && !ended;
    }

    /** Returns the time since the latest heartbeat. */
    public long silentNanos(long nowNanos) {
        return nowNanos - heardNanos;
    }

    VmRecord asDeparted() {
        return new VmRecord(heartbeat, heardNanos, coldUntilNanos, true, ended);
    }

    VmRecord asEnded() {
        return new VmRecord(heartbeat, heardNanos, coldUntilNanos, departed, true);
    }
}

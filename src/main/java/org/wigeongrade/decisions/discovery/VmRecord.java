package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.VmIncarnation;

/**
 * The latest heartbeat of a VM and what is known of the VM since. Immutable; safe for use from any thread.
 *
 * @param receivedNanos time at which the heartbeat was received, on this node's monotonic clock
 * @param coldUntilNanos end of the cold start on the same clock; in the past if warm
 * @param departed whether the VM has announced that it leaves permanently
 * @param ended whether the incarnation is known to have ended
 */
public record VmRecord(
        VmHeartbeat heartbeat, long receivedNanos, long coldUntilNanos, boolean departed, boolean ended) {
    public VmIncarnation vm() {
        return heartbeat.vm();
    }

    /** Returns whether the VM is neither leaving nor gone. */
    public boolean isStaying() {
        return !heartbeat.draining() && !departed && !ended;
    }

    /** Returns the time since the latest heartbeat. */
    public long sinceHeartbeatNanos(long nowNanos) {
        return nowNanos - receivedNanos;
    }

    VmRecord asDeparted() {
        return new VmRecord(heartbeat, receivedNanos, coldUntilNanos, true, ended);
    }

    VmRecord asEnded() {
        return new VmRecord(heartbeat, receivedNanos, coldUntilNanos, departed, true);
    }
}

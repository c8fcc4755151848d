package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.VmIncarnation;

/**
 * The latest heartbeat of a VM and what is known of the VM since. Immutable; safe for use from any thread.
 *
 * @param receivedNanos time at which the heartbeat was received, on this node's monotonic clock
 * @param coldUntilNanos end of the cold start on the same clock; in the past if warm
 * @param departed whether the VM has announced that it leaves permanently
 * @param ended whether the incarnation is known to have ended
 * @param leaving whether the incarnation stated in a response that it leaves, which its heartbeat may not show yet
 * @param confirmed whether the process at its address stated this start, so that earlier processes of the name have ended
 */
public record VmRecord(
        VmHeartbeat heartbeat,
        long receivedNanos,
        long coldUntilNanos,
        boolean departed,
        boolean ended,
        boolean leaving,
        boolean confirmed) {
    public VmIncarnation vm() {
        return heartbeat.vm();
    }

    /** Returns whether the VM is neither leaving nor gone. */
    public boolean isStaying() {
        return !heartbeat.draining() && !leaving && !departed && !ended;
    }

    /** Returns the time since the latest heartbeat. */
    public long sinceHeartbeatNanos(long nowNanos) {
        return nowNanos - receivedNanos;
    }

    VmRecord asDeparted() {
        return new VmRecord(heartbeat, receivedNanos, coldUntilNanos, true, ended, leaving, confirmed);
    }

    VmRecord asEnded() {
        return new VmRecord(heartbeat, receivedNanos, coldUntilNanos, departed, true, leaving, confirmed);
    }

    /** Returns this record of a VM that has said elsewhere that it leaves. */
    public VmRecord asLeaving() {
        return new VmRecord(heartbeat, receivedNanos, coldUntilNanos, departed, ended, true, confirmed);
    }
}

package org.wigeongrade.decisions.grouping;

import java.util.concurrent.TimeUnit;

/**
 * Times that the repair of groups keeps, in nanoseconds. Immutable; safe for use from any thread.
 *
 * @param heartbeatNanos usual time between two heartbeats of a VM
 * @param stallNanos time after which a head that lost a member counts as broken, by the engines' contract
 */
public record GroupTimings(long heartbeatNanos, long stallNanos) {
    /** A VM that missed two heartbeats and half a third is taken for no new group; only probes end the one it is in. */
    private static final double SILENT_HEARTBEATS = 2.5;
    /** A VM that is late by half a heartbeat is asked whether it is there. */
    private static final double LATE_HEARTBEATS = 1.5;
    /** Added to the stall time of a head that cannot be reached, for the way of the order and rate of clocks. */
    private static final long STALL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    /** Several round trips between VMs, and longer than one lost packet's resend. */
    static final long ORDER_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** A head that has begun to close is asked this often whether it is done; closing takes one pass of the engine. */
    static final long CLOSING_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Orders without an answer after which a VM is asked less often. */
    static final int QUICK_RESENDS = 3;
    /** Pause between two orders to a VM that has not answered for a while. */
    static final long SLOW_RESEND_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Joins are answered at once and reported when done; a report may come a heartbeat late. */
    static final long JOIN_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** Longer than a pass that reads full pieces of prompts, about 280 ms; a probe costs little, so it may be sent in vain. */
    static final long STALLED_MS = 300;
    /** A probe without an answer is sent once more after this time, on a new connection, in case a packet was lost. */
    static final long PROBE_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Probes in a row without an answer after which a VM counts as lost. */
    static final int LOST_PROBES = 2;
    /** Bytes from the group within this time show that every member works. */
    static final long PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    /** Pause between two rounds of probes to one group, so that probes stay few. */
    static final long PROBE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** Entry VMs learn within one pull that a group takes no more work. */
    static final long DRAIN_NOTICE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    /** Longest wait for streams of a group whose member leaves; longer than most answers take. */
    static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);
    /** A group whose head does not open in this time is given up. */
    static final long OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);
    /** A model lacks a group for this long before one is formed across domains: VMs that restart come back within it. */
    static final long FAR_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    /** Loads of second models that run at once; those of VMs that hold no weights go first. */
    static final int SECOND_LOADS_AT_ONCE = 2;
    /** Loads slow each other down; a join that takes this many times the load time is given up. */
    static final int LOAD_PATIENCE = 4;

    long silentNanos() {
        return (long) (SILENT_HEARTBEATS * heartbeatNanos);
    }

    long lateNanos() {
        return (long) (LATE_HEARTBEATS * heartbeatNanos);
    }

    /** Returns after which time a head is broken for sure once one of its members has left. */
    long surelyBrokenNanos() {
        return stallNanos + STALL_MARGIN_NANOS;
    }
}

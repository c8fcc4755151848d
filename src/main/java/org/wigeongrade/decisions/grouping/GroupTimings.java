package org.wigeongrade.decisions.grouping;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and intervals for forming and repairing groups, in nanoseconds unless their names say otherwise. Immutable;
 * safe for use from any thread.
 *
 * @param heartbeatNanos normal interval between two heartbeats of a VM
 * @param stallNanos time after which a head that has lost a member stops serving, as the engines guarantee
 */
public record GroupTimings(long heartbeatNanos, long stallNanos) {
    /**
     * A VM that is silent for this many heartbeat intervals is not used for a new group. It is not removed from the
     * group that it serves in until probes fail.
     */
    private static final double SILENT_HEARTBEATS = 2.5;
    /** Time for which VMs may look for a new leader after its election. */
    static final long LEADER_SEARCH_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    /** If more than this fraction of the heartbeats is late, the cause is the leader and not the VMs. */
    static final double MAX_LATE_FRACTION = 0.5;
    /** A VM whose heartbeat is late by half an interval is probed. */
    private static final double LATE_HEARTBEATS = 1.5;
    /**
     * Added to the stall time of an unreachable head, for the transit time of the order and differences in clock rate.
     */
    private static final long STALL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    /**
     * Resend interval of orders: several round trips between VMs, and longer than the retransmission of a lost packet.
     */
    static final long ORDER_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Longest time for which an order without an answer is assumed to be under way. */
    static final long MAX_ORDER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(12);
    /** Interval at which a change of the recorded groups is proposed again; several round trips between control VMs. */
    static final long RECORD_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Interval at which a closing head is asked whether it has finished; closing takes one engine pass. */
    static final long CLOSING_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Number of unanswered orders after which orders are resent at the slow interval. */
    static final int MAX_QUICK_RESENDS = 3;
    /** Resend interval for a VM that has left several orders unanswered. */
    static final long SLOW_RESEND_NANOS = TimeUnit.SECONDS.toNanos(3);
    /**
     * Resend interval of joins. A VM responds at once and reports the finished join in a heartbeat, so the report may
     * take one heartbeat interval.
     */
    static final long JOIN_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /**
     * Time without a byte after which a busy group is probed: longer than a pass with full prefill chunks, about 280
     * ms. Probes are cheap, so some may be unnecessary.
     */
    static final long STALLED_MS = 300;
    /** Time after which an unanswered probe is resent, on a new connection, in case a packet was lost. */
    static final long PROBE_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Number of consecutive unanswered probes after which a VM counts as lost. */
    static final int MAX_UNANSWERED_PROBES = 2;
    /**
     * Time after the first probe for which a member may leave probes unanswered and still go on. With the time until a busy
     * group is probed, it covers a second of silence.
     */
    static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(750);
    /** Bytes received from the group within this time show that every member works. */
    static final long RECENT_PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    /** Minimum time between two rounds of probes to a group, which limits the number of probes. */
    static final long PROBE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** Time until entry nodes stop sending to a draining group: they learn of it with their next pull. */
    static final long ROUTING_UPDATE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    /** Maximum time to wait for the streams of a draining group; longer than most responses take. */
    static final long DRAIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);
    /** A group is closed if its head does not open within this time. */
    static final long OPEN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);
    /**
     * Time for which a model must be short of groups before a cross-domain group is formed; restarting VMs come back
     * within it.
     */
    static final long CROSS_DOMAIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    /** Maximum number of concurrent loads of second models, so that VMs without any weights load first. */
    static final int MAX_CONCURRENT_SECOND_LOADS = 2;
    /** A join or load is abandoned after this many times the load time; loads that run at once slow each other down. */
    static final int LOAD_TIMEOUT_FACTOR = 4;

    /** Returns the time without a heartbeat, in nanoseconds, after which a VM is silent. */
    public long silentNanos() {
        return (long) (SILENT_HEARTBEATS * heartbeatNanos);
    }

    long lateNanos() {
        return (long) (LATE_HEARTBEATS * heartbeatNanos);
    }

    /** Returns the time after which a head has certainly stopped serving once one of its members has left. */
    long headBrokenAfterNanos() {
        return stallNanos + STALL_MARGIN_NANOS;
    }
}

package org.wigeongrade.settings;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.primitives.Ints;
import java.util.Map;

/**
 * Sizes, timeouts and thread counts of one node.
 *
 * <p>Invariant: every value lies in the range of its {@link LimitKey}. Immutable; safe for use from any thread.
 */
public final class NodeLimits {
    /** Every limit at its default. */
    public static final NodeLimits DEFAULTS = new NodeLimits(ImmutableMap.of());

    private final ImmutableMap<LimitKey, Long> configured;

    private NodeLimits(Map<LimitKey, Long> configured) {
        this.configured = Maps.immutableEnumMap(configured);
    }

    /** Creates limits from the configured values; the other limits keep their defaults. */
    public static NodeLimits of(Map<LimitKey, Long> configured) {
        configured.forEach(NodeLimits::checkRange);
        return new NodeLimits(configured);
    }

    private static void checkRange(LimitKey key, long value) {
        if (value < key.min() || value > key.max()) {
            throw new IllegalArgumentException(
                    key.key() + " is " + value + "; expected " + key.min() + " to " + key.max());
        }
    }

    /** Returns the value of one limit, in the unit that its name ends with. */
    public long value(LimitKey key) {
        return configured.getOrDefault(key, key.defaultValue());
    }

    /** Returns the largest request body taken from a caller, in bytes. */
    public int maxBodyBytes() {
        return Ints.checkedCast(value(LimitKey.MAX_BODY_BYTES));
    }

    /** Returns the longest time for which an entry VM sends work based on one view. */
    public long viewLeaseMs() {
        return value(LimitKey.VIEW_LEASE_MS);
    }

    /** Returns the time between two pulls of the view. */
    public long pullIntervalMs() {
        return value(LimitKey.PULL_INTERVAL_MS);
    }

    /** Returns the time after which an endpoint that stopped announcing is absent. */
    public long announcementLeaseMs() {
        return value(LimitKey.ANNOUNCEMENT_LEASE_MS);
    }

    /** Returns the longest time that a graceful stop waits for requests in flight. */
    public long stopDeadlineMs() {
        return value(LimitKey.STOP_DEADLINE_MS);
    }

    /** Returns the longest time from a request's arrival to the end of its response. */
    public long requestTimeoutMs() {
        return value(LimitKey.REQUEST_TIMEOUT_MS);
    }

    /** Returns the longest time that an endpoint may send nothing during a response. */
    public long stallTimeoutMs() {
        return value(LimitKey.STALL_TIMEOUT_MS);
    }

    /** Returns the longest time for opening a connection. */
    public long connectTimeoutMs() {
        return value(LimitKey.CONNECT_TIMEOUT_MS);
    }

    /** Returns the longest time that a caller may take to send a request. */
    public long bodyReadTimeoutMs() {
        return value(LimitKey.BODY_READ_TIMEOUT_MS);
    }

    /** Returns the number of threads that serve requests. */
    public int workerThreads() {
        return Ints.checkedCast(value(LimitKey.WORKER_THREADS));
    }
}

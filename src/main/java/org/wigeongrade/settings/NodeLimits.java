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

    private final ImmutableMap<LimitKey, Long> stated;

    private NodeLimits(Map<LimitKey, Long> stated) {
        this.stated = Maps.immutableEnumMap(stated);
    }

    /** Creates limits from the stated values; the others keep their defaults. */
    public static NodeLimits of(Map<LimitKey, Long> stated) {
        stated.forEach(NodeLimits::checkRange);
        return new NodeLimits(stated);
    }

    private static void checkRange(LimitKey key, long value) {
        if (value < key.min() || value > key.max()) {
            throw new IllegalArgumentException(
                    key.key() + " is " + value + "; expected " + key.min() + " to " + key.max());
        }
    }

    /** Returns the value of one limit, in the unit that its name ends with. */
    public long value(LimitKey key) {
        return stated.getOrDefault(key, key.defaultValue());
    }

    public int maxBodyBytes() {
        return Ints.checkedCast(value(LimitKey.MAX_BODY_BYTES));
    }

    public long viewLeaseMs() {
        return value(LimitKey.VIEW_LEASE_MS);
    }

    public long pullIntervalMs() {
        return value(LimitKey.PULL_INTERVAL_MS);
    }

    public long announcementLeaseMs() {
        return value(LimitKey.ANNOUNCEMENT_LEASE_MS);
    }

    public long stopDeadlineMs() {
        return value(LimitKey.STOP_DEADLINE_MS);
    }

    public long requestTimeoutMs() {
        return value(LimitKey.REQUEST_TIMEOUT_MS);
    }

    public long stallTimeoutMs() {
        return value(LimitKey.STALL_TIMEOUT_MS);
    }

    public long connectTimeoutMs() {
        return value(LimitKey.CONNECT_TIMEOUT_MS);
    }

    public long bodyReadTimeoutMs() {
        return value(LimitKey.BODY_READ_TIMEOUT_MS);
    }

    public int workerThreads() {
        return Ints.checkedCast(value(LimitKey.WORKER_THREADS));
    }
}

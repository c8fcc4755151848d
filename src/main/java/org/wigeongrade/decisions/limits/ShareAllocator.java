package org.wigeongrade.decisions.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Divides each limit, on the leader, into shares that entry VMs hold until a deadline.
 *
 * <p>Invariant: for each key the shares that are live or not yet reclaimed sum to at most the limit. Slots move to
 * another holder only after their current holder reported that it holds fewer, or after its deadline passed and the
 * work started under the share ended. A new leader starts without shares: it accepts those that holders report and
 * grants nothing else until the previous leader's leases have ended. All times are on the leader's monotonic clock, in
 * nanoseconds.
 *
 * <p>Thread safety: every method locks this object and acquires no other lock while holding it.
 */
public final class ShareAllocator {
    /**
     * The leader extends each lease on its side by the lease divided by this number, to allow for clocks that run at
     * different speeds.
     */
    private static final long DRIFT_MARGIN_DIVISOR = 100;

    private final long leaseNanos;
    private final long previousLeasesEndNanos;
    private final Map<ShareKey, ResourceAllocator> allocators = new HashMap<>();

    /**
     * @param leaseNanos duration of each grant, in nanoseconds
     * @param previousLeasesEndNanos time after which no grant of a previous leader is valid
     */
    public ShareAllocator(long leaseNanos, long previousLeasesEndNanos) {
        this.leaseNanos = leaseNanos;
        this.previousLeasesEndNanos = previousLeasesEndNanos;
    }

    /** Adds a resource, or changes its limit; {@code initialState} is used only if the key is new. */
    public synchronized void setLimit(ShareKey key, ResourceLimit limit, WarmupState initialState) {
        ResourceAllocator allocator = allocators.get(key);
        if (allocator == null) {
            allocators.put(key, new ResourceAllocator(key, limit, initialState, previousLeasesEndNanos));
            return;
        }
        allocator.setLimit(limit);
    }

    /** Removes a resource that is permanently gone, such as an endpoint to which nobody may send any more. */
    public synchronized void remove(ShareKey key) {
        allocators.remove(key);
    }

    /** Lowers the endpoint to its cold slots, which only its cold holder gets. */
    public synchronized void applyColdSign(ShareKey key) {
        Optional.ofNullable(allocators.get(key)).ifPresent(ResourceAllocator::applyColdSign);
    }

    /**
     * Applies a holder's report and returns its new grant. Returns empty if the key is unknown or the report is older
     * than one already applied; the holder then keeps what it has until its deadline.
     */
    public synchronized Optional<ShareGrant> applyReport(
            NodeName holder, long holderIncarnation, ShareReport report, long nowNanos) {
        ResourceAllocator allocator = allocators.get(report.key());
        if (allocator == null) {
            return Optional.empty();
        }
        return allocator.applyReport(holder, holderIncarnation, report, nowNanos, leaseNanos, driftMarginNanos());
    }

    /**
     * Applies an endpoint's own report of the requests that are running or waiting there.
     *
     * @param running number of requests running or waiting
     * @param notBeforeNanos earliest time at which the endpoint can have made the report, minus the longest time that a
     *     request may take to reach it: the count does not include requests that the endpoint has not received yet
     */
    public synchronized void applyEndpointReport(ShareKey key, int running, long notBeforeNanos, long nowNanos) {
        ResourceAllocator allocator = allocators.get(key);
        if (allocator != null) {
            allocator.applyEndpointReport(running, notBeforeNanos, nowNanos);
        }
    }

    /** Returns the slots that are or may be in use; 0 for an unknown key. */
    public synchronized int allocatedSlots(ShareKey key, long nowNanos) {
        ResourceAllocator allocator = allocators.get(key);
        return allocator == null ? 0 : allocator.allocated(nowNanos);
    }

    /** Returns the slots that may be granted in total: fewer than the limit while the endpoint is cold. */
    public synchronized int availableSlots(ShareKey key) {
        ResourceAllocator allocator = allocators.get(key);
        return allocator == null ? 0 : allocator.slots();
    }

    /** Returns the only entry VM that may send to the endpoint once it is cold. */
    public synchronized Optional<NodeName> coldHolder(ShareKey key) {
        ResourceAllocator allocator = allocators.get(key);
        return allocator == null ? Optional.empty() : allocator.coldHolder();
    }

    private long driftMarginNanos() {
        return leaseNanos / DRIFT_MARGIN_DIVISOR;
    }
}

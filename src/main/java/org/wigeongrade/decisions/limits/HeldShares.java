package org.wigeongrade.decisions.limits;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An entry VM's table of the shares that it holds.
 *
 * <p>Invariant: for each key the slots in use increase only while they are below the granted slots and the deadline has
 * not passed; slots in use beyond a lowered grant count until they are released. A grant is ignored if it answers a
 * report older than the last one sent, or one sent before a cold sign.
 *
 * <p>Thread safety: the lock order is the table, then one share. No method locks two shares at once or acquires any
 * other lock while it holds one. All times are on this VM's monotonic clock, in nanoseconds.
 */
public final class HeldShares {
    private final Map<ShareKey, HeldShare> shares = new ConcurrentHashMap<>();
    private final AtomicLong reportSequence = new AtomicLong();

    /** Acquires a slot for one piece of work; empty if the share is fully used or its deadline has passed. */
    public Optional<Slot> tryAcquire(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            if (share.canAcquire(nowNanos)) {
                return Optional.of(share.acquire());
            }
            share.countRefusal();
            return Optional.empty();
        }
    }

    /** Takes from a share of any kind: one slot for work in flight, or {@code amount} of a rate. */
    public TakeResult take(ShareKey key, long amount, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.take(amount, nowNanos);
        }
    }

    /** Returns everything that was taken, for work that did not start. */
    public void undo(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            if (slot.key().kind().isRate()) {
                share.refund(slot.amount());
                return;
            }
            share.release(slot);
        }
    }

    /** Corrects the amount taken from a rate to the amount used when the work ended. */
    public void adjustToUsage(Slot slot, long usedAmount) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            share.refund(slot.amount() - usedAmount);
        }
    }

    /** Releases a slot; returns false if it was already released. */
    public boolean release(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            return share.release(slot);
        }
    }

    /** Counts a response that completed at warm speed, which shows that a cold endpoint can handle more requests. */
    public void recordWarmCompletion(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            share.recordWarmCompletion(slot);
        }
    }

    /**
     * Treats a response that says that the endpoint was cold as a cold sign, unless its work started before the last
     * cold sign was known.
     */
    public void recordColdCompletion(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            share.recordColdCompletion(slot);
        }
    }

    /**
     * Lowers the share at once because the endpoint turned out to be cold; only the cold holder keeps its cold slots,
     * which include its work in flight.
     */
    public void applyColdSign(ShareKey key) {
        HeldShare share = share(key);
        synchronized (share) {
            share.applyColdSign();
        }
    }

    /**
     * Relinquishes the unused slots, as this process does when it stops; the next report tells the leader.
     */
    public void relinquish(ShareKey key) {
        HeldShare share = share(key);
        synchronized (share) {
            share.relinquish();
        }
    }

    /**
     * Applies a grant; {@code deadlineNanos} is measured from the time at which the report was sent. Returns false if
     * the grant is outdated.
     */
    public boolean applyGrant(ShareGrant grant, long deadlineNanos) {
        HeldShare share = share(grant.key());
        synchronized (share) {
            return share.applyGrant(grant, deadlineNanos);
        }
    }

    /** Returns the next report for the key; from now on, grants that answer earlier reports are ignored. */
    public ShareReport report(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.report(reportSequence.incrementAndGet(), nowNanos);
        }
    }

    /** Returns how many slots may be in use now; 0 after the deadline. */
    public int grantedSlots(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.usableSlots(nowNanos);
        }
    }

    /** Returns the number of slots in use, including those beyond a lowered grant. */
    public int inUse(ShareKey key) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.inUse();
        }
    }

    /** Returns whether a slot could be acquired now. */
    public boolean hasFreeSlot(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.canAcquire(nowNanos);
        }
    }

    /** Removes a key that is permanently gone; releasing its slots later has no effect. */
    public void remove(ShareKey key) {
        shares.remove(key);
    }

    private HeldShare share(ShareKey key) {
        return shares.computeIfAbsent(key, HeldShare::new);
    }
}

package org.wigeongrade.decisions.limits;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An entry VM's table of the shares that it holds.
 *
 * <p>Invariant: for each key the slots in use rise only while they are below the granted slots and the deadline has not
 * passed; slots in use beyond a lowered grant count until they are released. A grant that answers an older report than
 * the last one sent, or a report sent before a cold sign, changes nothing.
 *
 * <p>Thread safety: lock order is table, then one share; no method holds two shares at once and none locks anything else
 * inside. All times are on this VM's monotonic clock, in nanoseconds.
 */
public final class ShareHolder {
    private final Map<ShareKey, HeldShare> shares = new ConcurrentHashMap<>();
    private final AtomicLong reportSequence = new AtomicLong();

    /** Takes a slot for one piece of work; empty if the share is used up or its deadline has passed. */
    public Optional<Slot> tryAcquire(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            if (share.mayAcquire(nowNanos)) {
                return Optional.of(share.acquire());
            }
            share.refused();
            return Optional.empty();
        }
    }

    /** Takes part of a share of any kind: one slot of work in flight, or {@code amount} of a rate. */
    public TakeResult take(ShareKey key, long amount, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.take(amount, nowNanos);
        }
    }

    /** Gives back all that was taken, for work that did not begin. */
    public void undo(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            if (slot.key().kind().isRate()) {
                share.giveBackAmount(slot.amount());
                return;
            }
            share.release(slot);
        }
    }

    /** Corrects the amount taken of a rate to what was used when the work ended. */
    public void settle(Slot slot, long usedAmount) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            share.giveBackAmount(slot.amount() - usedAmount);
        }
    }

    /** Gives a slot back; returns false if it was given back before. */
    public boolean release(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            return share.release(slot);
        }
    }

    /** Counts an answer that completed at warm speed: evidence that a cold endpoint can bear more. */
    public void completedWarm(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            share.completedWarm(slot);
        }
    }

    /** Takes an answer that says that the endpoint was cold as a cold sign, unless it is older than the last one. */
    public void completedCold(Slot slot) {
        HeldShare share = share(slot.key());
        synchronized (share) {
            share.completedCold(slot);
        }
    }

    /**
     * Drops the share at once because the endpoint shows that it is cold; only the named cold holder keeps its cold
     * slots. Work in flight counts against them.
     */
    public void coldSign(ShareKey key) {
        HeldShare share = share(key);
        synchronized (share) {
            share.coldSign();
        }
    }

    /** Gives back what is not in use, as a process that is stopping does; the next report tells the leader. */
    public void giveBack(ShareKey key) {
        HeldShare share = share(key);
        synchronized (share) {
            share.giveBack();
        }
    }

    /** Applies a grant; {@code deadlineNanos} counts from when the report was sent. Returns false if it is outdated. */
    public boolean applyGrant(ShareGrant grant, long deadlineNanos) {
        HeldShare share = share(grant.key());
        synchronized (share) {
            return share.applyGrant(grant, deadlineNanos);
        }
    }

    /** Returns the next report for the key; grants that answer earlier reports are ignored from now on. */
    public ShareReport report(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.report(reportSequence.incrementAndGet(), nowNanos);
        }
    }

    /** Returns the slots that may be in use now; 0 past the deadline. */
    public int grantedSlots(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.usable(nowNanos);
        }
    }

    /** Returns the slots in use, including those beyond a lowered grant. */
    public int inUse(ShareKey key) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.inUse();
        }
    }

    /** Returns whether a slot could be taken now. */
    public boolean hasFreeSlot(ShareKey key, long nowNanos) {
        HeldShare share = share(key);
        synchronized (share) {
            return share.mayAcquire(nowNanos);
        }
    }

    /** Forgets a key that is gone for good; slots released later have no effect. */
    public void remove(ShareKey key) {
        shares.remove(key);
    }

    private HeldShare share(ShareKey key) {
        return shares.computeIfAbsent(key, HeldShare::new);
    }
}

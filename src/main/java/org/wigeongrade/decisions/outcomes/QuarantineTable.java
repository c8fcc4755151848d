package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The requests that are refused fleet-wide, by digest.
 *
 * <p>Invariant: the deadline of a digest never moves to an earlier time while the quarantine is in force. Results
 * depend only on the commands. Not thread-safe; {@code ControlState} guards it.
 */
public final class QuarantineTable {
    private final TreeMap<String, Quarantine> byDigest = new TreeMap<>();

    /** Quarantines a digest until {@code untilEpochMs}, or until its existing deadline if that is later. */
    public void add(String requestDigest, String reason, long nowEpochMs, long untilEpochMs) {
        final Quarantine earlier = byDigest.get(requestDigest);
        if (earlier == null || earlier.untilEpochMs() <= nowEpochMs) {
            byDigest.put(requestDigest, new Quarantine(requestDigest, reason, nowEpochMs, untilEpochMs));
            return;
        }
        final long laterEpochMs = Math.max(untilEpochMs, earlier.untilEpochMs());
        byDigest.put(requestDigest, new Quarantine(requestDigest, reason, earlier.sinceEpochMs(), laterEpochMs));
    }

    /** Returns the quarantine of a digest that is in force at {@code nowEpochMs}, if any. */
    public Optional<Quarantine> find(String requestDigest, long nowEpochMs) {
        return Optional.ofNullable(byDigest.get(requestDigest)).filter(entry -> nowEpochMs < entry.untilEpochMs());
    }

    /** Removes the entries whose deadline has passed. */
    public void expire(long nowEpochMs) {
        byDigest.values().removeIf(entry -> entry.untilEpochMs() <= nowEpochMs);
    }

    /** Returns all entries in the order of their digests; some may be past their deadline. */
    public List<Quarantine> entries() {
        return ImmutableList.copyOf(byDigest.values());
    }

    /** Replaces all entries. */
    public void restore(List<Quarantine> restored) {
        byDigest.clear();
        restored.forEach(entry -> byDigest.put(entry.requestDigest(), entry));
    }
}

package org.wigeongrade.decisions.log;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the leader knows of one peer's log.
 *
 * <p>Invariant: everything up to {@code matchIndex} is durable on {@code incarnation}. Not thread safe.
 */
final class PeerProgress {
    OptionalLong incarnation = OptionalLong.empty();
    long matchIndex;
    long nextIndex;
    /** Latest send time, on the leader's clock, that the peer confirmed in this term. */
    OptionalLong confirmedSentNanos = OptionalLong.empty();

    long resendDeadlineNanos;
    Optional<Position> snapshot = Optional.empty();
    long snapshotOffset;

    PeerProgress(long nextIndex) {
        this.nextIndex = nextIndex;
    }

    /** Notes an answer; an unknown incarnation starts from nothing. */
    void answered(long newIncarnation, long sentNanos, long lastIndex) {
        boolean known = incarnation.isPresent() && incarnation.getAsLong() == newIncarnation;
        if (!known) {
            incarnation = OptionalLong.of(newIncarnation);
            matchIndex = 0;
            nextIndex = Math.min(nextIndex, lastIndex + 1);
            confirmedSentNanos = OptionalLong.empty();
            snapshot = Optional.empty();
        }
        boolean newer = confirmedSentNanos.isEmpty() || sentNanos - confirmedSentNanos.getAsLong() > 0;
        if (newer) {
            confirmedSentNanos = OptionalLong.of(sentNanos);
        }
    }

    boolean confirmedSince(long sinceNanos) {
        return confirmedSentNanos.isPresent() && confirmedSentNanos.getAsLong() - sinceNanos >= 0;
    }

    void matched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    void rejected(long previousIndex, long hintIndex) {
        if (previousIndex > matchIndex) {
            nextIndex = Math.max(matchIndex, Math.min(hintIndex, previousIndex - 1)) + 1;
        }
    }
}

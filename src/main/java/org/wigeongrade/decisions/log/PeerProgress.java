package org.wigeongrade.decisions.log;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the leader knows about one peer's log.
 *
 * <p>Invariant: the peer with {@code incarnation} has durably stored every entry up to {@code matchIndex}. Not thread
 * safe.
 */
final class PeerProgress {
    OptionalLong incarnation = OptionalLong.empty();
    long matchIndex;
    long nextIndex;
    /** Send time, on the leader's clock, of the latest message that the peer acknowledged in this term. */
    OptionalLong ackedSentNanos = OptionalLong.empty();

    long resendDeadlineNanos;
    Optional<Position> snapshotPosition = Optional.empty();
    long snapshotOffset;

    PeerProgress(long nextIndex) {
        this.nextIndex = nextIndex;
    }

    /** Records a reply; resets the progress if it comes from an incarnation other than the known one. */
    void onReply(long newIncarnation, long sentNanos, long lastIndex) {
        boolean known = incarnation.isPresent() && incarnation.getAsLong() == newIncarnation;
        if (!known) {
            incarnation = OptionalLong.of(newIncarnation);
            matchIndex = 0;
            nextIndex = Math.min(nextIndex, lastIndex + 1);
            ackedSentNanos = OptionalLong.empty();
            snapshotPosition = Optional.empty();
        }
        boolean newer = ackedSentNanos.isEmpty() || sentNanos - ackedSentNanos.getAsLong() > 0;
        if (newer) {
            ackedSentNanos = OptionalLong.of(sentNanos);
        }
    }

    boolean hasAckedSince(long sinceNanos) {
        return ackedSentNanos.isPresent() && ackedSentNanos.getAsLong() - sinceNanos >= 0;
    }

    void onMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    void onReject(long previousIndex, long hintIndex) {
        if (previousIndex > matchIndex) {
            nextIndex = Math.max(matchIndex, Math.min(hintIndex, previousIndex - 1)) + 1;
        }
    }
}

package org.wigeongrade.decisions.outcomes;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.NodeName;

/**
 * The leader's quarantine of a prompt part, or of one request: nothing of it is sent, except one request at a time as a
 * trial, once the time until it has passed and while an entry node asks for one.
 *
 * <p>Invariants: at most one entry node holds a trial; a trial that crashed an endpoint doubles the time until the next
 * one, up to a limit. All times are on the leader's wait clock. Not thread safe.
 */
final class TrialQuarantine {
    private static final int MAX_DOUBLINGS = 5;
    /** Time until a trial without a result is repeated. */
    static final long EARLY_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Time within which a trial is expected to end. */
    private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(6);
    /** A quarantine ends if nobody has sent anything of it for this long after its time. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Age of the last refusal up to which the entry node that refused may be granted a trial. */
    private static final long WANTED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long sinceNanos;
    private final long firstNanos;
    private final boolean adopted;
    private long untilNanos;
    private int failedTrials;
    private Optional<NodeName> trialHolder = Optional.empty();
    private long trialStartedNanos;
    private boolean tried;
    private Optional<NodeName> wantedBy = Optional.empty();
    private long wantedNanos;

    private TrialQuarantine(long sinceNanos, long firstNanos, long untilNanos, int failedTrials, boolean adopted) {
        this.sinceNanos = sinceNanos;
        this.firstNanos = firstNanos;
        this.untilNanos = untilNanos;
        this.failedTrials = failedTrials;
        this.adopted = adopted;
        this.wantedNanos = untilNanos - sinceNanos < 0 ? untilNanos : sinceNanos;
    }

    /**
     * Creates a quarantine that this leader decided.
     *
     * @param firstNanos the time that is doubled after each trial that crashed an endpoint
     */
    static TrialQuarantine decided(long nowNanos, long firstNanos, long untilNanos) {
        return new TrialQuarantine(nowNanos, firstNanos, untilNanos, 0, false);
    }

    /** Creates one that an earlier leader decided. */
    static TrialQuarantine adopted(long nowNanos, long firstNanos, long untilNanos, int failedTrials) {
        return new TrialQuarantine(nowNanos, firstNanos, untilNanos, failedTrials, true);
    }

    /** Returns whether only the losses that this leader knows speak for it. */
    boolean restsOnLosses() {
        return !adopted && failedTrials == 0;
    }

    /** Returns whether a trial was granted since the last one that failed, so that the losses no longer give its time. */
    boolean isTried() {
        return tried;
    }

    /** Returns when the next trial may be granted. */
    long untilNanos() {
        return untilNanos;
    }

    long sinceNanos() {
        return sinceNanos;
    }

    int failedTrials() {
        return failedTrials;
    }

    /** Postpones the next trial to a time, unless it is later already. */
    void postpone(long nanos) {
        untilNanos = nanos - untilNanos > 0 ? nanos : untilNanos;
    }

    /** Returns whether an entry node may send a request as the trial now. */
    boolean isHeldBy(NodeName entryNode) {
        return trialHolder.equals(Optional.of(entryNode));
    }

    /** Returns whether a loss at this time may be the result of the latest trial, however late it is reported. */
    boolean mayHaveFailedAt(long lostNanos) {
        return tried && lostNanos - trialStartedNanos >= 0;
    }

    /** Records that a trial crashed an endpoint. */
    void extend(long nowNanos) {
        failedTrials++;
        untilNanos = nowNanos + (firstNanos << Math.min(failedTrials, MAX_DOUBLINGS));
        trialHolder = Optional.empty();
        tried = false;
    }

    /** Records that an entry node refused a request because of this. */
    void recordRefused(NodeName entryNode, long nowNanos) {
        wantedBy = Optional.of(entryNode);
        wantedNanos = nowNanos;
    }

    /** Ends a trial without a result, and grants the next one if it is due and an entry node asks for it. */
    void grantTrial(long nowNanos) {
        if (trialHolder.isPresent() && nowNanos - trialStartedNanos > TRIAL_NANOS) {
            trialHolder = Optional.empty();
            untilNanos = nowNanos + EARLY_TRIAL_NANOS;
        }
        final boolean wanted = wantedBy.isPresent() && nowNanos - wantedNanos <= WANTED_NANOS;
        if (trialHolder.isEmpty() && wanted && nowNanos - untilNanos >= 0) {
            trialHolder = wantedBy;
            trialStartedNanos = nowNanos;
            tried = true;
        }
    }

    /** Returns whether nobody has wanted to send anything of it for long. */
    boolean isForgotten(long nowNanos) {
        return nowNanos - untilNanos > FORGET_NANOS && nowNanos - wantedNanos > FORGET_NANOS;
    }
}

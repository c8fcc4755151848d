package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Decides which of the losses that entry nodes report were crashes of endpoints. What a node sees at its connections
 * cannot tell a crash from a cut of its own links; the heartbeats of the VM can.
 *
 * <p>Invariants: a loss that only nodes in doubt of their links report counts no sooner than its incarnation is known to
 * have ended or has been silent for the time that heartbeats take; a loss counts no longer once its incarnation was heard
 * well after it; a loss that is not refuted counts after that time at the latest. The endpoints and the requests of each
 * are limited, and what is given up is counted. Time is a parameter. Not thread safe.
 */
public final class LossEvidence {
    /** Time after a loss for which signs of life may still be those from before it, delayed on their way. */
    static final long LATE_SIGN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Time by which a heartbeat may come later than its interval, beyond {@link #LATE_SIGN_NANOS}. */
    private static final long HEARTBEAT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Minimum time between two decisions without a new report, so that their cost does not grow with the entry nodes. */
    private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Lost endpoints that are remembered; several times those of a minute in which a zone fails. */
    private static final int MAX_ENDPOINTS = 512;
    /** Requests that are remembered for each endpoint; several times those that an endpoint runs at once. */
    private static final int MAX_REQUESTS = 256;

    /**
     * A change of the verdict on one endpoint.
     *
     * @param losses the losses that count from now on, or all that do not count if the verdict refutes them
     */
    public record Decision(EndpointIncarnation endpoint, LossVerdict verdict, ImmutableList<ReportedLoss> losses) {}

    private static final class Lost {
        private final List<ReportedLoss> undecided = new ArrayList<>();
        private final List<ReportedLoss> counted = new ArrayList<>();
        private final Set<String> requests = new HashSet<>();
        private long lostNanos;
        private boolean linksWorked;

        Lost(long lostNanos) {
            this.lostNanos = lostNanos;
        }

        ImmutableList<ReportedLoss> all() {
            return ImmutableList.<ReportedLoss>builder()
                    .addAll(counted)
                    .addAll(undecided)
                    .build();
        }

        /** Returns whether the loss is known now. */
        boolean add(ReportedLoss loss) {
            linksWorked |= !loss.linksDoubted();
            if (loss.lostNanos() - lostNanos > 0) {
                lostNanos = loss.lostNanos();
            }
            if (requests.contains(loss.requestDigest())) {
                return true;
            }
            if (requests.size() >= MAX_REQUESTS) {
                return false;
            }
            requests.add(loss.requestDigest());
            undecided.add(loss);
            return true;
        }
    }

    private final long silentNanos;
    private final long startedNanos;
    private final Map<EndpointIncarnation, Lost> lostEndpoints = new LinkedHashMap<>();
    private long nextDecisionNanos = Long.MIN_VALUE / 2;
    private boolean reportedSinceDecision;
    private int droppedLosses;

    /**
     * Creates the evidence of one leader's term.
     *
     * @param heartbeatNanos usual time between two heartbeats of a VM
     * @param startedNanos since when this leader hears heartbeats
     */
    public LossEvidence(long heartbeatNanos, long startedNanos) {
        this.silentNanos = heartbeatNanos + LATE_SIGN_NANOS + HEARTBEAT_DELAY_NANOS;
        this.startedNanos = startedNanos;
    }

    /** Adds a report; the same one may be added again. */
    public void record(ReportedLoss loss) {
        reportedSinceDecision = true;
        final boolean known = lostEndpoints
                .computeIfAbsent(loss.endpoint(), unused -> new Lost(loss.lostNanos()))
                .add(loss);
        if (!known) {
            droppedLosses++;
        }
        if (lostEndpoints.size() > MAX_ENDPOINTS) {
            final Iterator<Lost> oldest = lostEndpoints.values().iterator();
            droppedLosses += oldest.next().undecided.size();
            oldest.remove();
        }
    }

    /** Returns how many reports were given up undecided, as too many endpoints or requests were lost. */
    public int droppedLosses() {
        return droppedLosses;
    }

    /**
     * Decides what can be decided now. Does nothing if that was done just before and nothing was reported since.
     *
     * @param sightings the latest sign of life of an endpoint's VM; empty if none is known
     */
    public ImmutableList<Decision> decide(
            Function<EndpointIncarnation, Optional<VmSighting>> sightings, long nowNanos) {
        if (!reportedSinceDecision && nowNanos - nextDecisionNanos < 0) {
            return ImmutableList.of();
        }
        reportedSinceDecision = false;
        nextDecisionNanos = nowNanos + MIN_INTERVAL_NANOS;
        final ImmutableList.Builder<Decision> decisions = ImmutableList.builder();
        lostEndpoints.entrySet().removeIf(entry -> {
            final EndpointIncarnation endpoint = entry.getKey();
            final Lost lost = entry.getValue();
            final LossVerdict verdict = verdictOn(endpoint, lost, sightings.apply(endpoint), nowNanos);
            if (verdict.isCounted() && !lost.undecided.isEmpty()) {
                decisions.add(new Decision(endpoint, verdict, ImmutableList.copyOf(lost.undecided)));
                lost.counted.addAll(lost.undecided);
                lost.undecided.clear();
            }
            if (verdict == LossVerdict.HEARD_SINCE) {
                decisions.add(new Decision(endpoint, verdict, lost.all()));
            }
            return verdict == LossVerdict.HEARD_SINCE || nowNanos - lost.lostNanos > CrashAttribution.LOSS_NANOS;
        });
        return decisions.build();
    }

    private LossVerdict verdictOn(
            EndpointIncarnation endpoint, Lost lost, Optional<VmSighting> sighting, long nowNanos) {
        if (sighting.filter(seen -> seen.incarnation() == endpoint.incarnation() && !seen.ended())
                .filter(seen -> seen.heardNanos() - lost.lostNanos > LATE_SIGN_NANOS)
                .isPresent()) {
            return LossVerdict.HEARD_SINCE;
        }
        if (sighting.filter(seen -> seen.incarnation() > endpoint.incarnation()
                        || (seen.incarnation() == endpoint.incarnation() && seen.ended()))
                .isPresent()) {
            return LossVerdict.INCARNATION_ENDED;
        }
        if (lost.linksWorked) {
            return LossVerdict.LINKS_WORKED;
        }
        final long sinceNanos = lost.lostNanos - startedNanos > 0 ? lost.lostNanos : startedNanos;
        return nowNanos - sinceNanos >= silentNanos ? LossVerdict.SILENT : LossVerdict.UNDECIDED;
    }
}

package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.NodeName;

/**
 * The leader's quarantines of single requests.
 *
 * <p>Invariants: a request is released only by a complete response to a trial, by losses that turn out not to speak
 * against it before its first trial, or once it no longer comes; until then at most one entry node may send it at a time.
 * All times are on the leader's wait clock. Not thread safe.
 */
final class RequestQuarantines {
    /** Time until the first trial; doubled after each trial that crashed an endpoint. */
    private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<String, TrialQuarantine> byDigest = new HashMap<>();

    /** Takes over a quarantine that an earlier leader decided, as an entry node knows it. */
    void adopt(QuarantinedRequest known, long nowNanos) {
        byDigest.computeIfAbsent(
                        known.digest(),
                        unused -> TrialQuarantine.adopted(
                                nowNanos, FIRST_NANOS, known.untilNanos(), known.failedTrials()))
                .postpone(known.untilNanos());
    }

    /** Records that an entry node refused a request because of its quarantine. */
    void recordRefused(NodeName entryNode, String digest, long nowNanos) {
        Optional.ofNullable(byDigest.get(digest)).ifPresent(found -> found.recordRefused(entryNode, nowNanos));
    }

    /** Records a complete response to a trial, which ends the quarantine. */
    void recordCompleted(String digest) {
        byDigest.remove(digest);
    }

    /** Records that a request was in flight at an endpoint that was lost. */
    void recordLoss(String digest, long lostNanos, long nowNanos) {
        Optional.ofNullable(byDigest.get(digest))
                .filter(found -> found.mayHaveFailedAt(lostNanos))
                .ifPresent(found -> found.extend(nowNanos));
    }

    /**
     * Applies the evidence so far, and grants trials.
     *
     * @param untilByDigest the requests against which the losses speak now, with the time until which they are not sent
     */
    void update(Map<String, Long> untilByDigest, long nowNanos) {
        byDigest.values().removeIf(quarantine -> quarantine.isForgotten(nowNanos));
        byDigest.entrySet()
                .removeIf(
                        entry -> needsLosses(entry.getValue(), nowNanos) && !untilByDigest.containsKey(entry.getKey()));
        untilByDigest.forEach((digest, untilNanos) -> byDigest.computeIfAbsent(
                        digest, unused -> TrialQuarantine.decided(nowNanos, FIRST_NANOS, untilNanos))
                .postpone(untilNanos));
        byDigest.values().forEach(quarantine -> quarantine.grantTrial(nowNanos));
    }

    /** Returns whether a quarantine ends without losses that speak for it; they are too old once its time has passed. */
    private static boolean needsLosses(TrialQuarantine quarantine, long nowNanos) {
        return quarantine.restsOnLosses() && !quarantine.isTried() && nowNanos - quarantine.untilNanos() < 0;
    }

    /** Returns the digests of the requests, with the time at which a trial may be granted. */
    ImmutableMap<String, Long> untilNanos() {
        final ImmutableMap.Builder<String, Long> found = ImmutableMap.builder();
        byDigest.forEach((digest, quarantine) -> found.put(digest, quarantine.untilNanos()));
        return found.build();
    }

    /** Returns the requests, with the trials of one entry node. */
    ImmutableList<QuarantinedRequest> list(NodeName entryNode) {
        return byDigest.entrySet().stream()
                .map(entry -> new QuarantinedRequest(
                        entry.getKey(),
                        entry.getValue().untilNanos(),
                        entry.getValue().failedTrials(),
                        entry.getValue().isHeldBy(entryNode)))
                .collect(ImmutableList.toImmutableList());
    }
}

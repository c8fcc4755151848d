package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.VmIncarnation;

/**
 * An entry node's view of the requests that crash endpoints.
 *
 * <p>Invariants: a quarantined request is sent only as a trial, once for each grant of the leader; the completion of a
 * trial is reported until the leader lists the request no longer. Time is a parameter, on the monotonic clock. Not thread
 * safe.
 */
public final class QuarantinedRequests {
    private record Ended(VmIncarnation endpoint, long endedNanos) {}

    private final Set<String> refused = new HashSet<>();
    private final Set<String> startedTrials = new HashSet<>();
    private final Set<String> runningTrials = new HashSet<>();
    private final Set<String> completedTrials = new HashSet<>();
    private final Map<String, Ended> unconfirmed = new HashMap<>();
    private ImmutableMap<String, QuarantinedRequest> quarantined = ImmutableMap.of();

    /** Replaces what the leader decided. */
    public void apply(List<QuarantinedRequest> requests) {
        quarantined =
                requests.stream().collect(ImmutableMap.toImmutableMap(QuarantinedRequest::digest, found -> found));
        startedTrials.removeIf(digest -> !isGranted(digest));
        runningTrials.retainAll(quarantined.keySet());
        completedTrials.retainAll(quarantined.keySet());
        unconfirmed.keySet().retainAll(quarantined.keySet());
    }

    /** Returns whether no request is quarantined. */
    public boolean isEmpty() {
        return quarantined.isEmpty();
    }

    /** Returns whether a request is quarantined. */
    public boolean contains(String digest) {
        return quarantined.containsKey(digest);
    }

    /** Returns whether the leader may grant a trial of a quarantined request as soon as it is asked. */
    public boolean isTrialDue(String digest, long nowNanos) {
        return Optional.ofNullable(quarantined.get(digest))
                .filter(found -> nowNanos - found.untilNanos() >= 0)
                .isPresent();
    }

    /** Returns whether a quarantined request may be sent as its trial; true once a grant. */
    public boolean tryStartTrial(String digest) {
        return isGranted(digest) && startedTrials.add(digest) && runningTrials.add(digest);
    }

    /** Returns whether no trial that this node started may still end. */
    public boolean hasNoTrial() {
        return runningTrials.isEmpty();
    }

    /** Records that a request was refused because of its quarantine, which asks the leader for a trial. */
    public void recordRefused(String digest) {
        refused.add(digest);
    }

    /** Records a complete response to a request. */
    public void recordCompleted(String digest) {
        if (runningTrials.remove(digest)) {
            completedTrials.add(digest);
        }
    }

    /**
     * Records a response that ended with its connection, as it would have in a crash; it counts once
     * {@link #confirmCompleted} finds the endpoint alive.
     */
    public void recordEndedWithConnection(VmIncarnation endpoint, String digest, long nowNanos) {
        if (runningTrials.remove(digest)) {
            unconfirmed.put(digest, new Ended(endpoint, nowNanos));
        }
    }

    /** Records that an endpoint may have crashed, so that the ends of its connections prove nothing. */
    public void recordLost(VmIncarnation endpoint) {
        unconfirmed.values().removeIf(ended -> ended.endpoint().equals(endpoint));
    }

    /**
     * Counts the responses of living endpoints that ended with their connections.
     *
     * @param alive the endpoints that the leader lists
     * @param endedBeforeNanos if an endpoint had crashed before this time, the leader would no longer list it
     */
    public void confirmCompleted(Set<VmIncarnation> alive, long endedBeforeNanos) {
        unconfirmed.entrySet().removeIf(entry -> {
            final Ended ended = entry.getValue();
            if (!alive.contains(ended.endpoint())) {
                return true;
            }
            final boolean confirmed = ended.endedNanos() - endedBeforeNanos < 0;
            if (confirmed) {
                completedTrials.add(entry.getKey());
            }
            return confirmed;
        });
    }

    /** Returns and forgets the requests that were refused since the last call. */
    public ImmutableSet<String> drainRefused() {
        final ImmutableSet<String> drained = ImmutableSet.copyOf(refused);
        refused.clear();
        return drained;
    }

    /** Returns the requests whose trials ended with a complete response and that the leader still lists. */
    public ImmutableSet<String> completedTrials() {
        return ImmutableSet.copyOf(completedTrials);
    }

    /** Returns the quarantined requests, for a new leader. */
    public ImmutableList<QuarantinedRequest> all() {
        return quarantined.values().asList();
    }

    private boolean isGranted(String digest) {
        return Optional.ofNullable(quarantined.get(digest))
                .filter(QuarantinedRequest::onTrial)
                .isPresent();
    }
}

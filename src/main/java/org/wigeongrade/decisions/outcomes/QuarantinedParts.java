package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.VmIncarnation;

/**
 * An entry node's view of the prompt parts that crash endpoints.
 *
 * <p>Invariants: a request with a quarantined part is sent only as a trial, one for each grant of the leader, and only
 * if it has no other quarantined part, so that its outcome tells something of this one. Time is a parameter, on the
 * monotonic clock. Not thread safe.
 */
public final class QuarantinedParts {
    private final CompletedParts completed = new CompletedParts();
    private final UnconfirmedCompletions unconfirmed = new UnconfirmedCompletions();
    private final Set<PromptPartId> refused = new HashSet<>();
    private final Set<PromptPartId> startedTrials = new HashSet<>();
    private ImmutableMap<PromptPartId, PartQuarantine> quarantined = ImmutableMap.of();
    private ImmutableSet<PromptPartId> inQuestion = ImmutableSet.of();

    /** Replaces what the leader decided, and the parts that it asks about. */
    public void apply(List<PartQuarantine> parts, Set<PromptPartId> partsInQuestion) {
        quarantined = parts.stream().collect(ImmutableMap.toImmutableMap(PartQuarantine::part, part -> part));
        inQuestion = ImmutableSet.copyOf(partsInQuestion);
        startedTrials.removeIf(part -> !Optional.ofNullable(quarantined.get(part))
                .filter(PartQuarantine::onTrial)
                .isPresent());
    }

    /** Returns a quarantined part among these, if there is one. */
    public Optional<PromptPartId> findQuarantined(Set<PromptPartId> parts) {
        return quarantined.isEmpty()
                ? Optional.empty()
                : parts.stream().filter(quarantined::containsKey).findFirst();
    }

    /** Returns whether a request with these parts may be sent as the trial of a quarantined one; true once a grant. */
    public boolean tryStartTrial(Set<PromptPartId> parts) {
        final List<PromptPartId> found =
                parts.stream().filter(quarantined::containsKey).toList();
        return found.size() == 1 && quarantined.get(found.get(0)).onTrial() && startedTrials.add(found.get(0));
    }

    /** Records that a request was refused because of a part, which asks the leader for a trial. */
    public void recordRefused(PromptPartId part) {
        refused.add(part);
    }

    /** Records a complete response to a request with these parts. */
    public void recordCompleted(Set<PromptPartId> parts, long nowNanos) {
        completed.record(parts, nowNanos);
    }

    /**
     * Records a response to a request with these parts that ended with its connection, as it would have in a crash; it
     * counts once {@link #confirmCompleted} finds the endpoint alive.
     */
    public void recordEndedWithConnection(VmIncarnation endpoint, Set<PromptPartId> parts, long nowNanos) {
        unconfirmed.record(endpoint, parts, nowNanos);
    }

    /** Records that an endpoint may have crashed, so that the ends of its connections prove nothing. */
    public void recordLost(VmIncarnation endpoint) {
        unconfirmed.forget(endpoint);
    }

    /**
     * Counts the responses of living endpoints that ended with their connections.
     *
     * @param alive the endpoints that the leader lists
     * @param endedBeforeNanos if an endpoint had crashed before this time, the leader would no longer list it
     */
    public void confirmCompleted(Set<VmIncarnation> alive, long endedBeforeNanos) {
        unconfirmed.confirm(alive, endedBeforeNanos, completed);
    }

    /** Returns and forgets the parts because of which requests were refused since the last call. */
    public ImmutableSet<PromptPartId> drainRefused() {
        final ImmutableSet<PromptPartId> drained = ImmutableSet.copyOf(refused);
        refused.clear();
        return drained;
    }

    /** Returns the complete responses to requests with the parts that the leader asked about. */
    public ImmutableMap<PromptPartId, PartCompletions> completionsInQuestion(long nowNanos) {
        final ImmutableMap.Builder<PromptPartId, PartCompletions> found = ImmutableMap.builder();
        inQuestion.forEach(
                part -> completed.find(part, nowNanos).ifPresent(completions -> found.put(part, completions)));
        return found.build();
    }

    /** Returns the quarantined parts, for a new leader. */
    public ImmutableList<PartQuarantine> all() {
        return ImmutableList.copyOf(quarantined.values());
    }
}

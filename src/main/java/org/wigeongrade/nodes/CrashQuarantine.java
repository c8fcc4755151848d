package org.wigeongrade.nodes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.wigeongrade.decisions.outcomes.CrashAttribution;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.LossEvidence;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.decisions.outcomes.VmSighting;
import org.wigeongrade.fleet.thrift.PartCompletionRecord;
import org.wigeongrade.fleet.thrift.QuarantinedPartRecord;
import org.wigeongrade.fleet.thrift.QuarantinedRequestRecord;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Feeds what entry nodes report with their pulls to {@link CrashAttribution}, and tells them what must not be sent.
 *
 * <p>Invariant: the reply to a node's first pull from a new leader contains what that node knew of an earlier leader's
 * quarantine, so that a change of leader releases nothing. Thread safe: every method locks this object; the lock of what
 * returns the sightings is acquired after it.
 */
public final class CrashQuarantine {
    private final LossEvidence evidence;
    private final CrashAttribution attribution;
    private final Function<EndpointIncarnation, Optional<VmSighting>> sightings;
    private final EventLog events;
    private int loggedDroppedLosses;
    private ImmutableSet<String> loggedRequests = ImmutableSet.of();
    private ImmutableSet<PromptPartId> loggedParts = ImmutableSet.of();

    /**
     * Creates the state of one leader's term.
     *
     * @param pullIntervalNanos time between two pulls of an entry node
     * @param evidence decides which reported losses were crashes
     * @param sightings the latest sign of life of an endpoint's VM
     */
    public CrashQuarantine(
            long pullIntervalNanos,
            LossEvidence evidence,
            Function<EndpointIncarnation, Optional<VmSighting>> sightings,
            EventLog events) {
        this.attribution = new CrashAttribution(pullIntervalNanos);
        this.evidence = evidence;
        this.sightings = sightings;
        this.events = events;
    }

    /** Records that a request was in flight at an endpoint that an entry node lost. */
    public synchronized void recordLoss(ReportedLoss loss) {
        evidence.record(loss);
    }

    /** Decides which reported losses were crashes, and returns what has changed. */
    public synchronized ImmutableList<LossEvidence.Decision> decideLosses(long nowNanos) {
        final ImmutableList<LossEvidence.Decision> decisions = evidence.decide(sightings, nowNanos);
        if (evidence.droppedLosses() > loggedDroppedLosses) {
            loggedDroppedLosses = evidence.droppedLosses();
            events.write(LogEvent.LOSSES_DROPPED, loggedDroppedLosses);
        }
        for (final LossEvidence.Decision decision : decisions) {
            if (decision.verdict().isCounted()) {
                decision.losses().forEach(loss -> attribution.recordLoss(loss, nowNanos));
            } else {
                attribution.withdrawLoss(decision.endpoint());
            }
            events.write(
                    LogEvent.ENDPOINT_LOSS_DECIDED,
                    decision.endpoint(),
                    decision.verdict().isCounted() ? "counts as a crash" : "was no crash",
                    decision.verdict().code(),
                    decision.losses().size());
        }
        return decisions;
    }

    /**
     * Applies what an entry node reports of prompt parts and quarantined requests, any of which may be null.
     *
     * @param firstOfTerm whether the node had another leader before
     */
    public synchronized void recordReport(
            NodeName entryNode,
            List<PartCompletionRecord> completions,
            List<String> refused,
            List<QuarantinedPartRecord> quarantined,
            List<QuarantinedRequestRecord> quarantinedRequests,
            List<String> refusedRequests,
            List<String> completedTrials,
            boolean firstOfTerm,
            long nowNanos) {
        Optional.ofNullable(completions)
                .orElse(List.of())
                .forEach(seen -> attribution.recordCompletions(
                        entryNode, PromptPartId.of(seen.getPart()), PromptPartRecords.fromThrift(seen, nowNanos)));
        PromptPartRecords.partsFromThrift(refused)
                .forEach(part -> attribution.recordRefused(entryNode, part, nowNanos));
        if (firstOfTerm) {
            PromptPartRecords.quarantineFromThrift(quarantined, nowNanos)
                    .forEach(known -> attribution.adopt(known, nowNanos));
            QuarantinedRequestRecords.fromThrift(quarantinedRequests, nowNanos)
                    .forEach(known -> attribution.adoptRequest(known, nowNanos));
        }
        Optional.ofNullable(refusedRequests)
                .orElse(List.of())
                .forEach(digest -> attribution.recordRefusedRequest(entryNode, digest, nowNanos));
        Optional.ofNullable(completedTrials).orElse(List.of()).forEach(attribution::recordCompletedTrial);
        if (attribution.update(nowNanos) || firstOfTerm) {
            logChanges();
        }
    }

    /** Returns the requests that are not sent again, with the trials of one entry node. */
    public synchronized ImmutableList<QuarantinedRequestRecord> quarantinedRequests(NodeName entryNode, long nowNanos) {
        return QuarantinedRequestRecords.toThrift(attribution.quarantinedRequests(entryNode), nowNanos);
    }

    /** Returns the quarantined parts, with the trials of one entry node. */
    public synchronized ImmutableList<QuarantinedPartRecord> quarantinedParts(NodeName entryNode, long nowNanos) {
        return PromptPartRecords.quarantineToThrift(attribution.quarantinedParts(entryNode), nowNanos);
    }

    /** Returns the parts for which entry nodes are to report their complete responses. */
    public synchronized ImmutableList<String> partsInQuestion() {
        return PromptPartRecords.partsToThrift(attribution.partsInQuestion());
    }

    private void logChanges() {
        final ImmutableSet<String> requests = attribution.quarantinedRequests().keySet();
        Sets.difference(requests, loggedRequests)
                .forEach(digest ->
                        events.write(LogEvent.REQUEST_QUARANTINED, digest, attribution.lossesOfRequest(digest)));
        Sets.difference(loggedRequests, requests).forEach(digest -> events.write(LogEvent.REQUEST_RELEASED, digest));
        loggedRequests = requests;
        final ImmutableSet<PromptPartId> parts = attribution.quarantinedParts();
        Sets.difference(parts, loggedParts)
                .forEach(part -> events.write(LogEvent.PROMPT_PART_QUARANTINED, part, attribution.lossesOfPart(part)));
        Sets.difference(loggedParts, parts).forEach(part -> events.write(LogEvent.PROMPT_PART_RELEASED, part));
        loggedParts = parts;
    }
}

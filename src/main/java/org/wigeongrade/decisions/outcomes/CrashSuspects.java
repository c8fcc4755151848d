package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.NodeName;

/**
 * The leader's list of suspect requests (requests that may crash endpoints), gathered from the reports of all entry
 * VMs.
 *
 * <p>Invariants: a digest that was in flight at one lost endpoint is a suspect, which only one entry VM at a time may
 * run on trial. A digest that was in flight at two lost endpoints is proposed for quarantine. A complete response
 * clears a suspect, and a suspect is removed at its deadline. All times are on the leader's monotonic clock, in
 * nanoseconds.
 *
 * <p>Thread safety: every method locks this object and acquires no other lock while holding it.
 */
public final class CrashSuspects {
    private static final int LOSSES_FOR_QUARANTINE = 2;

    private final long suspectNanos;
    private final long trialNanos;
    private final Map<String, Suspect> suspects = new HashMap<>();
    private final Map<NodeName, Long> acknowledged = new HashMap<>();

    /**
     * @param suspectNanos how long after its last loss a suspect is removed
     * @param trialNanos time within which one entry VM may start to run a suspect
     */
    public CrashSuspects(long suspectNanos, long trialNanos) {
        this.suspectNanos = suspectNanos;
        this.trialNanos = trialNanos;
    }

    /** Applies a report and returns the digests to quarantine because of it. */
    public synchronized ImmutableList<QuarantineProposal> report(NodeName entryVm, CrashReport report, long nowNanos) {
        acknowledged.put(entryVm, report.sequence());
        report.completions().forEach(completion -> suspects.remove(completion.requestDigest()));
        ImmutableList.Builder<QuarantineProposal> proposals = ImmutableList.builder();
        for (ReportedLoss loss : report.losses()) {
            recordLoss(loss, nowNanos).ifPresent(proposals::add);
        }
        return proposals.build();
    }

    /**
     * Returns the list for one entry VM. Grants it the trial of each suspect that it wants to run and that no other VM
     * may run now, and releases each trial that it no longer wants. {@code quarantined} are the digests quarantined in
     * the replicated log.
     */
    public synchronized SuspectList list(
            NodeName entryVm, Set<String> wantedTrials, Set<String> quarantined, long nowNanos) {
        suspects.values().removeIf(suspect -> nowNanos - suspect.expiresAtNanos > 0);
        ImmutableList.Builder<SuspectList.Suspect> listed = ImmutableList.builder();
        suspects.forEach((digest, suspect) -> {
            if (wantedTrials.contains(digest)) {
                suspect.grantTrial(entryVm, nowNanos + trialNanos, nowNanos);
            } else {
                suspect.endTrial(entryVm);
            }
            listed.add(new SuspectList.Suspect(
                    digest, suspect.lostEndpoints.size(), suspect.trialHolder(nowNanos), trialNanos));
        });
        return new SuspectList(acknowledged.getOrDefault(entryVm, 0L), listed.build(), quarantined);
    }

    /** Forgets the loss of an endpoint that turned out to have gone on; a request without another one is no suspect. */
    public synchronized void withdrawLoss(EndpointIncarnation endpoint) {
        suspects.values()
                .removeIf(suspect -> suspect.lostEndpoints.remove(endpoint) && suspect.lostEndpoints.isEmpty());
    }

    private Optional<QuarantineProposal> recordLoss(ReportedLoss loss, long nowNanos) {
        Suspect suspect = suspects.computeIfAbsent(loss.requestDigest(), digest -> new Suspect());
        suspect.lostEndpoints.add(loss.endpoint());
        suspect.expiresAtNanos = nowNanos + suspectNanos;
        if (suspect.lostEndpoints.size() < LOSSES_FOR_QUARANTINE) {
            return Optional.empty();
        }
        return Optional.of(new QuarantineProposal(loss.requestDigest(), ImmutableSet.copyOf(suspect.lostEndpoints)));
    }

    private static final class Suspect {
        private final Set<EndpointIncarnation> lostEndpoints = new HashSet<>();
        private Optional<NodeName> trialHolder = Optional.empty();
        private long trialDeadlineNanos;
        private long expiresAtNanos;

        Optional<NodeName> trialHolder(long nowNanos) {
            return nowNanos - trialDeadlineNanos < 0 ? trialHolder : Optional.empty();
        }

        void endTrial(NodeName entryVm) {
            if (trialHolder.equals(Optional.of(entryVm))) {
                trialHolder = Optional.empty();
            }
        }

        void grantTrial(NodeName entryVm, long deadlineNanos, long nowNanos) {
            Optional<NodeName> current = trialHolder(nowNanos);
            if (current.isEmpty() || current.get().equals(entryVm)) {
                trialHolder = Optional.of(entryVm);
                trialDeadlineNanos = deadlineNanos;
            }
        }
    }
}

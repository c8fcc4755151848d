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
 * The leader's list of requests that may crash endpoints, gathered from the reports of all entry VMs.
 *
 * <p>Invariants: a digest that was in flight at one lost endpoint is a suspect, which one entry VM at a time may run;
 * at two lost endpoints it is proposed for quarantine; a whole answer clears it. A suspect is forgotten at its deadline.
 * All times are on the leader's monotonic clock, in nanoseconds.
 *
 * <p>Thread safety: all methods lock the list, which is a leaf: nothing else is locked inside.
 */
public final class CrashSuspects {
    private static final int LOSSES_FOR_QUARANTINE = 2;

    private final long suspectNanos;
    private final long trialNanos;
    private final Map<String, Suspect> suspects = new HashMap<>();
    private final Map<NodeName, Long> acknowledged = new HashMap<>();

    /**
     * @param suspectNanos time after the last loss until a suspect is forgotten
     * @param trialNanos time for which one entry VM may begin to run a suspect
     */
    public CrashSuspects(long suspectNanos, long trialNanos) {
        this.suspectNanos = suspectNanos;
        this.trialNanos = trialNanos;
    }

    /** Takes in a report and returns the digests that it makes due for quarantine. */
    public synchronized ImmutableList<QuarantineProposal> report(NodeName entryVm, CrashReport report, long nowNanos) {
        acknowledged.put(entryVm, report.sequence());
        report.completions().forEach(completion -> suspects.remove(completion.requestDigest()));
        ImmutableList.Builder<QuarantineProposal> proposals = ImmutableList.builder();
        for (CrashReport.Loss loss : report.losses()) {
            proposalAfter(loss, nowNanos).ifPresent(proposals::add);
        }
        return proposals.build();
    }

    /**
     * Returns the list for one entry VM and gives it the trial of each suspect that it wants to run and nobody else may
     * run now; a trial that it no longer wants is free. {@code quarantined} are the digests that the replicated log holds.
     */
    public synchronized SuspectList list(
            NodeName entryVm, Set<String> wantedTrials, Set<String> quarantined, long nowNanos) {
        suspects.values().removeIf(suspect -> nowNanos - suspect.forgetAtNanos > 0);
        ImmutableList.Builder<SuspectList.Suspect> listed = ImmutableList.builder();
        suspects.forEach((digest, suspect) -> {
            if (wantedTrials.contains(digest)) {
                suspect.giveTrial(entryVm, nowNanos + trialNanos, nowNanos);
            } else {
                suspect.endTrial(entryVm);
            }
            listed.add(new SuspectList.Suspect(digest, suspect.lost.size(), suspect.trialHolder(nowNanos), trialNanos));
        });
        return new SuspectList(acknowledged.getOrDefault(entryVm, 0L), listed.build(), quarantined);
    }

    private Optional<QuarantineProposal> proposalAfter(CrashReport.Loss loss, long nowNanos) {
        Suspect suspect = suspects.computeIfAbsent(loss.requestDigest(), digest -> new Suspect());
        suspect.lost.add(loss.life());
        suspect.forgetAtNanos = nowNanos + suspectNanos;
        if (suspect.lost.size() < LOSSES_FOR_QUARANTINE) {
            return Optional.empty();
        }
        return Optional.of(new QuarantineProposal(loss.requestDigest(), ImmutableSet.copyOf(suspect.lost)));
    }

    private static final class Suspect {
        private final Set<EndpointLife> lost = new HashSet<>();
        private Optional<NodeName> trialHolder = Optional.empty();
        private long trialDeadlineNanos;
        private long forgetAtNanos;

        Optional<NodeName> trialHolder(long nowNanos) {
            return nowNanos - trialDeadlineNanos < 0 ? trialHolder : Optional.empty();
        }

        void endTrial(NodeName entryVm) {
            if (trialHolder.equals(Optional.of(entryVm))) {
                trialHolder = Optional.empty();
            }
        }

        void giveTrial(NodeName entryVm, long deadlineNanos, long nowNanos) {
            Optional<NodeName> current = trialHolder(nowNanos);
            if (current.isEmpty() || current.get().equals(entryVm)) {
                trialHolder = Optional.of(entryVm);
                trialDeadlineNanos = deadlineNanos;
            }
        }
    }
}

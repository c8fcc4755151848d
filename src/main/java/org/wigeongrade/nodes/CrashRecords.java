package org.wigeongrade.nodes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.outcomes.CrashReport;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.decisions.outcomes.SuspectList;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.thrift.CrashReportRecord;
import org.wigeongrade.nodes.thrift.PullReply;
import org.wigeongrade.nodes.thrift.RunRecord;
import org.wigeongrade.nodes.thrift.SuspectRecord;

/** Converts crash reports and suspects to and from their Thrift form. Stateless; safe for use from any thread. */
public final class CrashRecords {
    private CrashRecords() {}

    public static CrashReportRecord toThrift(CrashReport report, Collection<String> wantedTrials, long nowNanos) {
        final CrashReportRecord record = new CrashReportRecord();
        record.setSequence(report.sequence());
        record.setLosses(report.losses().stream()
                .map(loss -> runRecord(loss.requestDigest(), loss.endpoint())
                        .setPromptParts(PromptPartRecords.partsToThrift(loss.promptParts()))
                        .setAgeMs(TimeUnit.NANOSECONDS.toMillis(nowNanos - loss.lostNanos()))
                        .setLinksDoubted(loss.linksDoubted()))
                .toList());
        record.setCompletions(report.completions().stream()
                .map(completion -> runRecord(completion.requestDigest(), completion.incarnation()))
                .toList());
        record.setWantedTrials(ImmutableList.copyOf(wantedTrials));
        return record;
    }

    public static CrashReport fromThrift(CrashReportRecord record, long nowNanos) {
        return new CrashReport(
                record.getSequence(),
                record.getLosses().stream()
                        .map(run -> new ReportedLoss(
                                incarnationOf(run),
                                run.getRequestDigest(),
                                PromptPartRecords.partsFromThrift(run.getPromptParts()),
                                nowNanos - TimeUnit.MILLISECONDS.toNanos(run.getAgeMs()),
                                run.isLinksDoubted()))
                        .collect(ImmutableSet.toImmutableSet()),
                record.getCompletions().stream()
                        .map(run -> new CrashReport.Completion(run.getRequestDigest(), incarnationOf(run)))
                        .collect(ImmutableSet.toImmutableSet()));
    }

    public static SuspectRecord toThrift(SuspectList.Suspect suspect) {
        final SuspectRecord record =
                new SuspectRecord(suspect.requestDigest(), suspect.endpointsLost(), suspect.trialNanos());
        suspect.trialHolder().ifPresent(holder -> record.setTrialHolder(holder.value()));
        return record;
    }

    /**
     * Returns the suspects in a pull reply; {@code quarantined} are the quarantined digests that the entry VM knows
     * after this reply.
     */
    public static SuspectList fromThrift(PullReply reply, Set<String> quarantined) {
        return new SuspectList(
                reply.getAcknowledgedCrashSequence(),
                reply.getSuspects().stream().map(CrashRecords::suspect).toList(),
                quarantined);
    }

    private static SuspectList.Suspect suspect(SuspectRecord record) {
        return new SuspectList.Suspect(
                record.getRequestDigest(),
                record.getEndpointsLost(),
                Optional.ofNullable(record.getTrialHolder()).map(NodeName::new),
                record.getTrialNanos());
    }

    private static RunRecord runRecord(String requestDigest, EndpointIncarnation incarnation) {
        return new RunRecord(requestDigest, incarnation.endpoint().value(), incarnation.incarnation());
    }

    private static EndpointIncarnation incarnationOf(RunRecord run) {
        return new EndpointIncarnation(new EndpointId(run.getEndpoint()), run.getIncarnation());
    }
}

package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareReport;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.decisions.outcomes.CrashReport;
import org.wigeongrade.decisions.outcomes.LossEvidence;
import org.wigeongrade.decisions.outcomes.Quarantine;
import org.wigeongrade.decisions.outcomes.QuarantineProposal;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.decisions.outcomes.SuspectList;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.nodes.AnnouncementRecords;
import org.wigeongrade.nodes.ConfigurationView;
import org.wigeongrade.nodes.CrashQuarantine;
import org.wigeongrade.nodes.CrashRecords;
import org.wigeongrade.nodes.NodeTimings;
import org.wigeongrade.nodes.ShareRecords;
import org.wigeongrade.nodes.thrift.AnnouncementRecord;
import org.wigeongrade.nodes.thrift.CacheEventRecord;
import org.wigeongrade.nodes.thrift.PullReply;
import org.wigeongrade.nodes.thrift.PullRequest;
import org.wigeongrade.nodes.thrift.ShareGrantRecord;
import org.wigeongrade.nodes.thrift.ShareReportRecord;

/**
 * Processes the reports in the pull requests of entry VMs and replies with the view.
 *
 * <p>Invariant: everything in a reply was read from the state before the caller checks the leader's lease, so a reply
 * that is sent includes every change accepted before the pull was sent. Thread safe: holds no state of its own.
 */
final class PullHandler {
    private final ControlState state;
    private final NodeTimings timings;
    private final WaitClock waitClock;

    PullHandler(ControlState state, NodeTimings timings, WaitClock waitClock) {
        this.state = state;
        this.timings = timings;
        this.waitClock = waitClock;
    }

    /** Processes the reports in the request and returns the quarantines to propose because of them. */
    List<QuarantineProposal> processReports(PullRequest request, LeaderState leaderState) {
        final long nowNanos = waitClock.nowNanos();
        request.getAnnouncements().forEach(record -> recordAnnouncement(record, leaderState, nowNanos));
        final NodeName node = new NodeName(request.getNode());
        final EntryStatus status = new EntryStatus(
                node,
                new AvailabilityZone(request.getAvailabilityZone()),
                request.getIncarnation(),
                new Revision(request.getRevision()),
                request.isStopping(),
                request.getCallerAddress(),
                nowNanos,
                nowNanos + timings.viewLeaseNanos());
        leaderState.recordEntry(status);
        leaderState.recordRelay(
                status, request.isLeaseHeld() && !request.isStopping() && !request.isEndpointLinksCut());
        final CrashReport crashes = CrashRecords.fromThrift(request.getCrashReport(), nowNanos);
        crashes.losses().forEach(leaderState.crashQuarantine()::recordLoss);
        final List<ReportedLoss> counted = decideLosses(leaderState, nowNanos);
        leaderState
                .crashQuarantine()
                .recordReport(
                        node,
                        request.getCrashReport().getPartCompletions(),
                        request.getCrashReport().getRefusedParts(),
                        request.getCrashReport().getQuarantinedParts(),
                        List.of(),
                        List.of(),
                        List.of(),
                        request.getCacheCursorTerm() != leaderState.term(),
                        nowNanos);
        return leaderState
                .suspects()
                .report(
                        node,
                        new CrashReport(crashes.sequence(), ImmutableSet.copyOf(counted), crashes.completions()),
                        nowNanos);
    }

    /** Returns the reported losses that count as crashes from now on. */
    private static List<ReportedLoss> decideLosses(LeaderState leaderState, long nowNanos) {
        final List<ReportedLoss> counted = new ArrayList<>();
        for (final LossEvidence.Decision decision :
                leaderState.crashQuarantine().decideLosses(nowNanos)) {
            if (decision.verdict().isCounted()) {
                counted.addAll(decision.losses());
            } else {
                leaderState.suspects().withdrawLoss(decision.endpoint());
            }
        }
        return counted;
    }

    /** Builds the reply. Its lease counts from the time at which the entry VM sent the pull. */
    PullReply buildReply(PullRequest request, LeaderState leaderState) {
        final long nowNanos = waitClock.nowNanos();
        final PullReply reply = new PullReply();
        reply.setLeads(true);
        reply.setTerm(leaderState.term());
        reply.setSentAtNanos(nowNanos);
        reply.setViewLeaseNanos(timings.viewLeaseNanos());
        reply.setMembersKnown(nowNanos - leaderState.membersKnownAtNanos() >= 0);
        putConfiguration(reply, request);
        putEndpoints(reply, request, leaderState.snapshot(state, nowNanos), nowNanos);
        putGrants(reply, request, leaderState, nowNanos);
        putQuarantine(reply, request);
        putSuspects(reply, request, leaderState, nowNanos);
        putCacheEvents(reply, request, leaderState);
        final CrashQuarantine quarantine = leaderState.crashQuarantine();
        reply.setQuarantinedParts(quarantine.quarantinedParts(new NodeName(request.getNode()), nowNanos));
        reply.setPartsInQuestion(quarantine.partsInQuestion());
        reply.setRelayAddresses(leaderState.relayAddresses(
                new NodeName(request.getNode()), new AvailabilityZone(request.getAvailabilityZone()), nowNanos));
        return reply;
    }

    private void recordAnnouncement(AnnouncementRecord record, LeaderState leaderState, long nowNanos) {
        if (record.getEchoTerm() != leaderState.term()) {
            return;
        }
        final long receivedNanos = Math.min(nowNanos, record.getEchoSentAtNanos() + record.getHeardAfterEchoNanos());
        final Announcement announcement =
                AnnouncementRecords.fromThrift(record, receivedNanos + timings.announcementLeaseNanos());
        if (!leaderState.announcements().record(announcement)) {
            return;
        }
        final EndpointId endpoint = endpointOf(announcement);
        leaderState
                .shares()
                .applyEndpointReport(
                        ShareKey.endpointSlots(endpoint),
                        announcement.running() + announcement.waiting(),
                        receivedNanos,
                        nowNanos);
        if (record.isSetCacheFirstSequence()) {
            leaderState
                    .cacheEvents()
                    .add(new CacheEventRecord(
                            endpoint.value(),
                            record.getCacheFirstSequence(),
                            record.getCacheAdded(),
                            record.getCacheRemoved(),
                            record.getIncarnation()));
        }
    }

    private static EndpointId endpointOf(Announcement announcement) {
        if (announcement.kind() == EndpointKind.ENGINE && announcement.group().isPresent()) {
            return new EndpointId(announcement.group().get().value());
        }
        return new EndpointId(announcement.vm().vm().value());
    }

    private void putConfiguration(PullReply reply, PullRequest request) {
        final ConfigurationView view = ConfigurationViews.of(state);
        reply.setRevision(view.revision().value());
        if (view.revision().value() != request.getRevision()) {
            reply.setConfiguration(view.encode());
        }
    }

    private void putEndpoints(PullReply reply, PullRequest request, FleetSnapshot fleet, long nowNanos) {
        reply.setEndpointsDigest(fleet.digest());
        if (fleet.digest() != request.getEndpointsDigest()) {
            reply.setEndpoints(fleet.endpoints());
        }
        reply.setServingLeaseNanos(timings.viewLeaseNanos());
        final Map<String, Long> shorterLeasesNanos = new HashMap<>();
        fleet.servingDeadlinesNanos().forEach((endpoint, deadlineNanos) -> {
            final long leftNanos = Math.max(0, deadlineNanos - nowNanos);
            if (leftNanos < timings.viewLeaseNanos()) {
                shorterLeasesNanos.put(endpoint, leftNanos);
            }
        });
        reply.setShorterServingLeaseNanos(shorterLeasesNanos);
        reply.setLoads(fleet.loads());
    }

    private static void putGrants(PullReply reply, PullRequest request, LeaderState leaderState, long nowNanos) {
        final NodeName node = new NodeName(request.getNode());
        final List<ShareGrantRecord> grants = new ArrayList<>();
        for (ShareReportRecord record : request.getShares()) {
            final ShareReport report = ShareRecords.fromThrift(record);
            leaderState
                    .shares()
                    .applyReport(node, request.getIncarnation(), report, nowNanos)
                    .map(ShareRecords::toThrift)
                    .ifPresent(grants::add);
        }
        reply.setGrants(grants);
    }

    private void putQuarantine(PullReply reply, PullRequest request) {
        final Map<String, Long> quarantined = new TreeMap<>();
        state.quarantines().forEach(entry -> quarantined.put(entry.requestDigest(), entry.untilEpochMs()));
        final long digest = Hashing.murmur3_128()
                .hashString(quarantined.toString(), StandardCharsets.UTF_8)
                .asLong();
        reply.setQuarantineDigest(digest);
        if (digest != request.getQuarantineDigest()) {
            reply.setQuarantined(quarantined);
        }
    }

    private void putSuspects(PullReply reply, PullRequest request, LeaderState leaderState, long nowNanos) {
        final SuspectList suspects = leaderState
                .suspects()
                .list(
                        new NodeName(request.getNode()),
                        ImmutableSet.copyOf(request.getCrashReport().getWantedTrials()),
                        state.quarantines().stream()
                                .map(Quarantine::requestDigest)
                                .collect(ImmutableSet.toImmutableSet()),
                        nowNanos);
        reply.setAcknowledgedCrashSequence(suspects.acknowledgedSequence());
        reply.setSuspects(
                suspects.suspects().stream().map(CrashRecords::toThrift).toList());
    }

    private static void putCacheEvents(PullReply reply, PullRequest request, LeaderState leaderState) {
        final boolean sameTerm = request.getCacheCursorTerm() == leaderState.term();
        final long cursor = sameTerm ? request.getCacheCursor() : 0;
        reply.setCacheEvents(leaderState.cacheEvents().since(cursor));
        reply.setCacheCursor(leaderState.cacheEvents().position());
    }
}

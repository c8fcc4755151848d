package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareReport;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.decisions.outcomes.Quarantine;
import org.wigeongrade.decisions.outcomes.QuarantineProposal;
import org.wigeongrade.decisions.outcomes.SuspectList;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.nodes.AnnouncementRecords;
import org.wigeongrade.nodes.ConfigurationView;
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
 * Takes in what entry VMs report and answers with the view.
 *
 * <p>Invariant: everything in an answer was read from the state before the caller checks the leader's lease, so an answer
 * that is sent is at least as new as every change accepted before the pull was sent. Thread safe: holds no state of its
 * own.
 */
final class PullAnswerer {
    private final ControlState state;
    private final NodeTimings timings;
    private final LongSupplier nanoClock;

    PullAnswerer(ControlState state, NodeTimings timings, LongSupplier nanoClock) {
        this.state = state;
        this.timings = timings;
        this.nanoClock = nanoClock;
    }

    /** Takes in the request's reports and returns the digests that became due for quarantine. */
    List<QuarantineProposal> takeIn(PullRequest request, Leadership leadership) {
        final long nowNanos = nanoClock.getAsLong();
        request.getAnnouncements().forEach(record -> hear(record, leadership, nowNanos));
        final NodeName node = new NodeName(request.getNode());
        leadership.entrySeen(new EntrySeen(
                node,
                new AvailabilityZone(request.getAvailabilityZone()),
                request.getIncarnation(),
                new Revision(request.getRevision()),
                request.isStopping(),
                request.getCallerAddress(),
                nowNanos,
                nowNanos + timings.viewLeaseNanos()));
        return leadership.suspects().report(node, CrashRecords.read(request.getCrashReport()), nowNanos);
    }

    /** Returns the answer; its lease counts from when the entry VM sent the pull. */
    PullReply answer(PullRequest request, Leadership leadership) {
        final long nowNanos = nanoClock.getAsLong();
        final PullReply reply = new PullReply();
        reply.setLeads(true);
        reply.setTerm(leadership.term());
        reply.setSentAtNanos(nowNanos);
        reply.setViewLeaseNanos(timings.viewLeaseNanos());
        reply.setMembersKnown(nowNanos - leadership.membersKnownAtNanos() >= 0);
        putConfiguration(reply, request);
        putEndpoints(reply, request, leadership.snapshot(state, nowNanos), nowNanos);
        putGrants(reply, request, leadership, nowNanos);
        putQuarantine(reply, request);
        putSuspects(reply, request, leadership, nowNanos);
        putCacheEvents(reply, request, leadership);
        return reply;
    }

    private void hear(AnnouncementRecord record, Leadership leadership, long nowNanos) {
        if (record.getEchoTerm() != leadership.term()) {
            return;
        }
        final long heardNanos = Math.min(nowNanos, record.getEchoSentAtNanos() + record.getHeardAfterEchoNanos());
        final Announcement said = AnnouncementRecords.read(record, heardNanos + timings.announcementLeaseNanos());
        if (!leadership.announcements().record(said)) {
            return;
        }
        final EndpointId endpoint = endpointOf(said);
        leadership
                .shares()
                .endpointReport(
                        ShareKey.endpointSlots(endpoint), said.running() + said.waiting(), heardNanos, nowNanos);
        if (record.isSetCacheFirstSequence()) {
            leadership
                    .cacheEvents()
                    .add(new CacheEventRecord(
                            endpoint.value(),
                            record.getCacheFirstSequence(),
                            record.getCacheAdded(),
                            record.getCacheRemoved(),
                            record.getIncarnation()));
        }
    }

    private static EndpointId endpointOf(Announcement said) {
        if (said.kind() == EndpointKind.ENGINE && said.group().isPresent()) {
            return new EndpointId(said.group().get().value());
        }
        return new EndpointId(said.vm().vm().value());
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
        final Map<String, Long> shorter = new HashMap<>();
        fleet.servingDeadlinesNanos().forEach((endpoint, deadlineNanos) -> {
            final long leftNanos = Math.max(0, deadlineNanos - nowNanos);
            if (leftNanos < timings.viewLeaseNanos()) {
                shorter.put(endpoint, leftNanos);
            }
        });
        reply.setShorterServingLeaseNanos(shorter);
        reply.setLoads(fleet.loads());
    }

    private static void putGrants(PullReply reply, PullRequest request, Leadership leadership, long nowNanos) {
        final NodeName node = new NodeName(request.getNode());
        final List<ShareGrantRecord> grants = new ArrayList<>();
        for (ShareReportRecord record : request.getShares()) {
            final ShareReport report = ShareRecords.read(record);
            leadership
                    .shares()
                    .report(node, request.getIncarnation(), report, nowNanos)
                    .map(ShareRecords::write)
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

    private void putSuspects(PullReply reply, PullRequest request, Leadership leadership, long nowNanos) {
        final SuspectList suspects = leadership
                .suspects()
                .list(
                        new NodeName(request.getNode()),
                        ImmutableSet.copyOf(request.getCrashReport().getWantedTrials()),
                        state.quarantines().stream()
                                .map(Quarantine::requestDigest)
                                .collect(ImmutableSet.toImmutableSet()),
                        nowNanos);
        reply.setAcknowledgedCrashSequence(suspects.acknowledgedSequence());
        reply.setSuspects(suspects.suspects().stream().map(CrashRecords::write).toList());
    }

    private static void putCacheEvents(PullReply reply, PullRequest request, Leadership leadership) {
        final boolean sameTerm = request.getCacheCursorTerm() == leadership.term();
        final long cursor = sameTerm ? request.getCacheCursor() : 0;
        reply.setCacheEvents(leadership.cacheEvents().since(cursor));
        reply.setCacheCursor(leadership.cacheEvents().position());
    }
}

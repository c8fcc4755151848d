package org.wigeongrade.nodes.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.decisions.limits.ShareGrant;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.SuspectTable;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.nodes.CrashRecords;
import org.wigeongrade.nodes.LeaderClient;
import org.wigeongrade.nodes.PromptPartRecords;
import org.wigeongrade.nodes.ShareRecords;
import org.wigeongrade.nodes.thrift.AnnouncementRecord;
import org.wigeongrade.nodes.thrift.PullReply;
import org.wigeongrade.nodes.thrift.PullRequest;

/**
 * Pulls the view from the leader at a fixed interval, and reports the announcements that this VM received and the
 * shares that it holds.
 *
 * <p>Invariant: every lease in a reply counts from the time at which the pull was sent. A dedicated thread makes the
 * pulls one after another; {@link #requestPull} may be called from any thread.
 */
public final class ViewPuller implements AutoCloseable {
    private static final long RETRY_INTERVAL_MS = 100;

    private final EntryRole entry;
    private final LeaderClient leaderClient;
    private final EventLog events;
    private final Metrics metrics;
    private final long incarnation;
    private final long intervalMs;
    private final Thread thread = new Thread(this::run, "view-puller");
    private final Set<ShareKey> reportedKeys = new LinkedHashSet<>();
    private final Object wakeUp = new Object();
    private boolean pullRequested;
    private volatile boolean closed;
    private boolean viewChanged;
    private boolean leaseHeld;
    private long leaseLostNanos;
    private long cacheCursorTerm;
    private long cacheCursor;

    /** {@code incarnation} must be larger than in every earlier run of this process. */
    public ViewPuller(
            EntryRole entry,
            LeaderClient leaderClient,
            EventLog events,
            Metrics metrics,
            long incarnation,
            long intervalMs) {
        this.entry = entry;
        this.leaderClient = leaderClient;
        this.events = events;
        this.metrics = metrics;
        this.incarnation = incarnation;
        this.intervalMs = intervalMs;
        this.leaseLostNanos = entry.nowNanos();
        thread.setDaemon(true);
    }

    /** Starts the thread that pulls. */
    public void start() {
        thread.start();
    }

    /** Makes the next pull start at once. */
    public void requestPull() {
        synchronized (wakeUp) {
            pullRequested = true;
            wakeUp.notifyAll();
        }
    }

    @Override
    public void close() {
        closed = true;
        requestPull();
    }

    private void run() {
        while (!closed) {
            boolean pulled = false;
            try {
                pulled = pullOnce();
            } catch (RuntimeException failure) {
                events.writeWithStackTrace(LogEvent.VIEW_PULL_FAILED, failure, leaderName(), failure.toString());
            }
            recordLeaseChange();
            await(pulled && !viewChanged ? intervalMs : Math.min(intervalMs, RETRY_INTERVAL_MS));
        }
    }

    /** Pulls once. Returns whether the leader replied. */
    private boolean pullOnce() {
        final List<AnnouncementRecord> announcements = entry.inbox().drain();
        final PullRequest request = request(announcements);
        final LeaseTime sent = entry.leaseNow();
        final long sentNanos = entry.nowNanos();
        final Optional<PullReply> reply = leaderClient.pull(request);
        if (reply.isEmpty()) {
            entry.inbox().putBack(announcements);
            return false;
        }
        apply(reply.get(), sent, sentNanos);
        return true;
    }

    private PullRequest request(List<AnnouncementRecord> announcements) {
        final FleetView view = entry.view();
        final long nowNanos = entry.nowNanos();
        final PullRequest request = new PullRequest();
        request.setNode(entry.self().value());
        request.setAvailabilityZone(entry.zone().value());
        request.setIncarnation(incarnation);
        request.setCallerAddress(entry.callerAddress());
        request.setRevision(view.revision().value());
        request.setEndpointsDigest(view.endpointsDigest());
        request.setQuarantineDigest(view.quarantineDigest());
        request.setAnnouncements(announcements);
        request.setStopping(entry.isStopping());
        request.setEndpointLinksCut(!entry.links().state().sendsDirectly());
        request.setLeaseHeld(view.hasLease(entry.leaseNow()));
        request.setCacheCursorTerm(cacheCursorTerm);
        request.setCacheCursor(cacheCursor);
        final SuspectTable suspects = entry.suspects();
        final int droppedLosses = suspects.drainDroppedLosses();
        if (droppedLosses > 0) {
            metrics.countLostReportsDropped(droppedLosses);
            events.write(LogEvent.CRASH_REPORTS_DROPPED, droppedLosses);
        }
        request.setCrashReport(CrashRecords.toThrift(suspects.report(), suspects.wantedTrials(nowNanos), nowNanos)
                .setPartCompletions(PromptPartRecords.completionsToThrift(suspects.partCompletions(nowNanos), nowNanos))
                .setRefusedParts(PromptPartRecords.partsToThrift(suspects.drainRefusedParts()))
                .setQuarantinedParts(PromptPartRecords.quarantineToThrift(suspects.quarantinedParts(), nowNanos)));
        request.setShares(keysToReport(view).stream()
                .map(key -> entry.shares().report(key, nowNanos))
                .map(ShareRecords::toThrift)
                .toList());
        return request;
    }

    /**
     * Returns the keys of the shares to report: those in the view, and those of endpoints and organisations no longer
     * in the view while their slots are still in use.
     */
    private ImmutableList<ShareKey> keysToReport(FleetView view) {
        final Set<ShareKey> current = new LinkedHashSet<>();
        view.allEndpoints().forEach(endpoint -> current.add(ShareKey.endpointSlots(endpoint.id())));
        for (final OrganisationDeclaration organisation :
                view.configuration().declaredSet().organisations()) {
            current.add(ShareKey.inFlight(organisation.name()));
            current.add(ShareKey.requestRate(organisation.name()));
            current.add(ShareKey.tokensPerMinute(organisation.name()));
        }
        for (final ShareKey key : ImmutableList.copyOf(reportedKeys)) {
            if (!current.contains(key) && entry.shares().inUse(key) == 0) {
                entry.shares().relinquish(key);
                reportedKeys.remove(key);
            }
        }
        reportedKeys.addAll(current);
        if (entry.isStopping()) {
            reportedKeys.forEach(key -> entry.shares().relinquish(key));
        }
        return ImmutableList.copyOf(reportedKeys);
    }

    private void apply(PullReply reply, LeaseTime sent, long sentNanos) {
        final FleetView earlier = entry.view();
        final Optional<FleetView> next = FleetViews.next(earlier, reply, sent, sentNanos);
        if (next.isEmpty()) {
            events.write(LogEvent.VIEW_PULL_FAILED, leaderName(), "the reply is older than the view in force");
            return;
        }
        viewChanged = !earlier.revision().equals(next.get().revision())
                || earlier.endpointsDigest() != next.get().endpointsDigest();
        handleChangedEndpoints(earlier, next.get());
        entry.setView(next.get());
        entry.inbox().recordReply(reply.getTerm(), reply.getSentAtNanos(), entry.nowNanos());
        applyGrants(reply, sentNanos);
        entry.suspects()
                .apply(
                        CrashRecords.fromThrift(
                                reply,
                                ImmutableSet.copyOf(
                                        next.get().quarantinedUntilEpochMs().keySet())),
                        sentNanos);
        entry.suspects()
                .applyParts(
                        PromptPartRecords.quarantineFromThrift(reply.getQuarantinedParts(), sentNanos),
                        PromptPartRecords.partsFromThrift(reply.getPartsInQuestion()));
        applyCacheEvents(reply);
        if (!earlier.revision().equals(next.get().revision())) {
            metrics.setRevision(next.get().revision().value());
            events.write(LogEvent.VIEW_CHANGED, next.get().revision());
        }
    }

    /** Treats a restarted endpoint as cold, and the requests that were in flight at its old incarnation as suspects. */
    private void handleChangedEndpoints(FleetView earlier, FleetView next) {
        for (final Map.Entry<EndpointId, EndpointView> knownEndpoint :
                earlier.endpoints().entrySet()) {
            final EndpointView before = knownEndpoint.getValue();
            final Optional<EndpointView> after = next.endpoint(knownEndpoint.getKey());
            if (after.isEmpty()) {
                entry.prefixIndex().remove(knownEndpoint.getKey());
                continue;
            }
            final boolean restarted = before.incarnation() != after.get().incarnation();
            final boolean turnedCold = !before.cold() && after.get().cold();
            if (restarted) {
                entry.suspects()
                        .endpointLost(new EndpointIncarnation(before.id(), before.incarnation()), entry.nowNanos());
            }
            if (restarted || turnedCold) {
                entry.coldSign(before.id());
            }
        }
    }

    private void applyGrants(PullReply reply, long sentNanos) {
        reply.getGrants().forEach(record -> {
            final ShareGrant grant = ShareRecords.fromThrift(record);
            entry.shares().applyGrant(grant, grant.deadlineNanos(sentNanos));
        });
    }

    private void applyCacheEvents(PullReply reply) {
        reply.getCacheEvents()
                .forEach(event -> entry.prefixIndex()
                        .apply(
                                new EndpointId(event.getEndpoint()),
                                event.getIncarnation(),
                                event.getFirstSequence(),
                                event.getAdded(),
                                event.getRemoved()));
        cacheCursorTerm = reply.getTerm();
        cacheCursor = reply.getCacheCursor();
    }

    private void recordLeaseChange() {
        final boolean held = entry.hasViewLease();
        metrics.setViewLease(held);
        if (held && !leaseHeld) {
            events.write(
                    LogEvent.VIEW_LEASE_REGAINED,
                    entry.view().revision(),
                    TimeUnit.NANOSECONDS.toMillis(entry.nowNanos() - leaseLostNanos));
        }
        if (!held && leaseHeld) {
            leaseLostNanos = entry.nowNanos();
            events.write(LogEvent.VIEW_LEASE_LOST, entry.view().revision());
        }
        leaseHeld = held;
    }

    private String leaderName() {
        return leaderClient.leader().map(Object::toString).orElse("unknown");
    }

    private void await(long waitMs) {
        synchronized (wakeUp) {
            final long deadlineNanos = entry.nowNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs);
            while (!pullRequested) {
                final long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - entry.nowNanos());
                if (remainingMs <= 0) {
                    break;
                }
                try {
                    wakeUp.wait(remainingMs);
                } catch (InterruptedException interrupted) {
                    closed = true;
                    return;
                }
            }
            pullRequested = false;
        }
    }
}

package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.thrift.TException;
import org.wigeongrade.clock.LeaseClock;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.outcomes.QuarantinedParts;
import org.wigeongrade.decisions.outcomes.QuarantinedRequest;
import org.wigeongrade.decisions.outcomes.QuarantinedRequests;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.FleetClient;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.PullRequest;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.fleet.thrift.ViewConfirmation;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.PromptPartRecords;
import org.wigeongrade.nodes.QuarantinedRequestRecords;

/**
 * Pulls the view from the leader at a fixed interval, on its own thread, and applies it on the event loop.
 *
 * <p>Invariant: only replies of a leader with a valid lease are applied; configuration versions never decrease. Thread
 * safe.
 */
final class ViewPuller implements AutoCloseable {
    private final NodeName self;
    private final AvailabilityZone zone;
    private final ControlDirectory directory;
    private final EndpointRegistry registry;
    private final SharedEventLoop loop;
    private final ConfigurationCache configurationCache;
    private final EventLog events;
    private final WaitClock waitClock;
    private final LeaseClock leaseClock;
    /** Address at which this node takes relayed requests; empty while it takes none. */
    private final Supplier<Optional<String>> relayAddress;

    private final Thread pullThread = new Thread(this::run, "pull");
    private final Deque<String> untriedControlVms = new ArrayDeque<>();
    /** The control VM that is believed to be the leader. */
    private Optional<String> knownLeader = Optional.empty();

    private KnownDocument knownDocument = KnownDocument.NONE;
    private Optional<String> connectedTo = Optional.empty();
    private Optional<FleetClient> client = Optional.empty();
    private boolean failing;

    ViewPuller(
            NodeName self,
            AvailabilityZone zone,
            ControlDirectory directory,
            EndpointRegistry registry,
            SharedEventLoop loop,
            ConfigurationCache configurationCache,
            EventLog events,
            WaitClock waitClock,
            LeaseClock leaseClock,
            Supplier<Optional<String>> relayAddress) {
        this.self = self;
        this.zone = zone;
        this.directory = directory;
        this.registry = registry;
        this.loop = loop;
        this.configurationCache = configurationCache;
        this.events = events;
        this.waitClock = waitClock;
        this.leaseClock = leaseClock;
        this.relayAddress = relayAddress;
        pullThread.setDaemon(true);
    }

    void start() {
        pullThread.start();
    }

    private void run() {
        try {
            while (true) {
                final boolean pulledFromLeader = pullOrLog();
                Thread.sleep(pulledFromLeader ? FleetTimings.PULL_INTERVAL_MS : FleetTimings.PULL_INTERVAL_MS / 4);
            }
        } catch (InterruptedException e) {
            client.ifPresent(FleetClient::close);
        }
    }

    private boolean pullOrLog() throws InterruptedException {
        try {
            return pull();
        } catch (RuntimeException e) {
            knownLeader = Optional.empty();
            events.writeWithStackTrace(LogEvent.VIEW_PULL_FAILED, e, connectedTo.orElse("-"), e);
            return false;
        }
    }

    /** Pulls once; returns whether the leader replied. */
    private boolean pull() throws InterruptedException {
        final String controlVm = knownLeader.orElseGet(this::nextControlVm);
        connectTo(controlVm);
        final PullRequest request = callOnEventLoop(this::buildRequest);
        final LeaseTime sent = leaseClock.now();
        final long sentNanos = waitClock.nowNanos();
        try {
            final PullReply reply = client.orElseThrow().call(thriftClient -> thriftClient.pull(request));
            directory.addControlVms(reply.getControlVms());
            if (reply.isLeads()) {
                knownLeader = Optional.of(controlVm);
                if (applyReply(reply, sent, sentNanos) && reply.isTakesConfirmations()) {
                    confirm(controlVm);
                }
                return true;
            }
            knownLeader =
                    Optional.of(reply.getLeader()).filter(leader -> !leader.isEmpty() && !leader.equals(controlVm));
        } catch (TException | IllegalArgumentException e) {
            knownLeader = Optional.empty();
            logFirstFailure(controlVm, e);
        }
        return false;
    }

    /** Tells the leader what is in force on this node now; if that fails, the next pull says the same. */
    private void confirm(String leader) {
        final EntryView view = registry.view();
        final ViewConfirmation confirmation = new ViewConfirmation(self.value(), view.version(), zonesOutOf(view));
        try {
            final boolean unused = client.orElseThrow().call(thriftClient -> {
                thriftClient.confirm(confirmation);
                return true;
            });
        } catch (TException e) {
            knownLeader = Optional.empty();
            logFirstFailure(leader, e);
        }
    }

    private static List<String> zonesOutOf(EntryView view) {
        return view.zonesOut().stream().map(AvailabilityZone::value).toList();
    }

    private void connectTo(String controlVm) {
        if (connectedTo.filter(controlVm::equals).isPresent()) {
            return;
        }
        client.ifPresent(FleetClient::close);
        client = Optional.of(new FleetClient(directory.fleetAddress(controlVm), FleetTimings.PULL_TIMEOUT_MS));
        connectedTo = Optional.of(controlVm);
    }

    private String nextControlVm() {
        if (untriedControlVms.isEmpty()) {
            untriedControlVms.addAll(directory.controlVmIps());
        }
        return untriedControlVms.removeFirst();
    }

    private PullRequest buildRequest() {
        final EntryView view = registry.view();
        final ImmutableList<UsageRecord> usage = registry.drainUsage(waitClock.nowNanos());
        final ImmutableList<CrashRecord> crashes = registry.unreportedCrashes(waitClock.nowNanos());
        final PullRequest request = new PullRequest(
                self.value(), zone.value(), view.version(), view.term(), view.changeNumber(), usage, crashes);
        final long nowNanos = waitClock.nowNanos();
        final QuarantinedParts parts = registry.quarantinedParts();
        request.setPartCompletions(
                PromptPartRecords.completionsToThrift(parts.completionsInQuestion(nowNanos), nowNanos));
        request.setRefusedParts(PromptPartRecords.partsToThrift(parts.drainRefused()));
        final QuarantinedRequests requests = registry.quarantinedRequests();
        request.setRefusedRequests(List.copyOf(requests.drainRefused()));
        request.setCompletedTrials(List.copyOf(requests.completedTrials()));
        request.setQuarantinedRequests(QuarantinedRequestRecords.toThrift(requests.all(), nowNanos));
        request.setQuarantinedParts(PromptPartRecords.quarantineToThrift(parts.all(), nowNanos));
        registry.limits().drainReports(nowNanos).forEach(request::addToLimits);
        relayAddress.get().ifPresent(request::setRelayAddress);
        request.setZonesOut(zonesOutOf(view));
        request.setDocumentVersion(knownDocument.version());
        return request;
    }

    /** Applies the reply of a leader; returns whether the configuration or the availability zones have changed. */
    private boolean applyReply(PullReply reply, LeaseTime sent, long sentNanos) throws InterruptedException {
        failing = false;
        final EntryView known = registry.view();
        final Optional<PublishedConfiguration> newConfiguration = readDocument(reply, known.version());
        final boolean replacesAll = reply.isComplete() && reply.isSettled();
        final EntryView next = new EntryView(
                newConfiguration.or(known::configuration),
                reply.getZonesOut().stream().map(AvailabilityZone::of).collect(ImmutableSet.toImmutableSet()),
                EntryView.merge(known.endpoints(), reply.getChanged(), reply.getRemoved(), replacesAll),
                Optional.ofNullable(reply.getInFlightElsewhere()).orElse(Map.of()),
                Optional.ofNullable(reply.getUnreadTokensElsewhere()).orElse(Map.of()),
                quarantinedRequests(reply, sentNanos),
                PromptPartRecords.quarantineFromThrift(reply.getQuarantinedParts(), sentNanos),
                PromptPartRecords.partsFromThrift(reply.getPartsInQuestion()),
                reply.getEntryVms(),
                Optional.ofNullable(reply.getRelayAddresses()).orElse(List.of()),
                // With term 0, the next pull asks a leader that is not settled yet for its complete state again.
                reply.isSettled() ? reply.getTerm() : 0,
                reply.getChangeNumber(),
                sent,
                sentNanos);
        newConfiguration.ifPresent(configuration -> events.write(LogEvent.VIEW_CHANGED, configuration.version()));
        callOnEventLoop(() -> {
            registry.apply(next, waitClock.nowNanos());
            registry.limits().apply(reply, waitClock.nowNanos());
            return ImmutableMap.of();
        });
        return next.version() != known.version() || !next.zonesOut().equals(known.zonesOut());
    }

    /** A leader of an old build does not say when the quarantine ends; the next leader does not take it over then. */
    private static ImmutableList<QuarantinedRequest> quarantinedRequests(PullReply reply, long sentNanos) {
        return reply.isSetQuarantinedRequests()
                ? QuarantinedRequestRecords.fromThrift(reply.getQuarantinedRequests(), sentNanos)
                : reply.getQuarantined().stream()
                        .distinct()
                        .map(digest -> new QuarantinedRequest(digest, sentNanos, 0, false))
                        .collect(ImmutableList.toImmutableList());
    }

    /** Returns the configuration in a reply; empty if it contains none that is newer than the known one. */
    private Optional<PublishedConfiguration> readDocument(PullReply reply, long knownVersion) {
        if (reply.getConfigurationVersion() <= knownVersion) {
            return Optional.empty();
        }
        if (reply.isSetEncodedDocument()) {
            final KnownDocument base = knownDocument;
            // Forgotten until the new one is known, so that after a failure the whole document is pulled.
            knownDocument = KnownDocument.NONE;
            knownDocument = base.decode(reply.getConfigurationVersion(), reply.getEncodedDocument());
        } else if (reply.isSetDocument()) {
            knownDocument = new KnownDocument(reply.getConfigurationVersion(), Bytes.wrap(reply.getDocument()));
        } else {
            return Optional.empty();
        }
        return Optional.of(configurationCache.get(
                knownDocument.version(), knownDocument.document().array()));
    }

    private void logFirstFailure(String controlVm, Exception cause) {
        if (!failing) {
            failing = true;
            events.write(LogEvent.VIEW_PULL_FAILED, controlVm, cause);
        }
    }

    private <T> T callOnEventLoop(java.util.concurrent.Callable<T> task) throws InterruptedException {
        try {
            return loop.eventLoop().submit(task).get(FleetTimings.PULL_TIMEOUT_MS * 10L, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException("a task on the event loop failed or timed out: " + e, e);
        }
    }

    @Override
    public void close() {
        pullThread.interrupt();
    }
}

package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.EngineLatencyModel;
import org.wigeongrade.decisions.balancing.LearnedOverhead;
import org.wigeongrade.decisions.balancing.SendRestriction;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.QuarantinedParts;
import org.wigeongrade.decisions.outcomes.QuarantinedRequests;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;

/**
 * The endpoints of the latest view, each with the load and the failures that this node observed there. Used on the
 * event loop only.
 *
 * <p>Invariant: an endpoint that is no longer in the view is kept while it has requests in flight, but gets no new
 * ones.
 */
final class EndpointRegistry {
    /** Usage of endpoints that were active within this time is reported to the leader. */
    private static final long ACTIVE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** If the view is older, the load that it reports for other entry nodes is outdated and replaced by an estimate. */
    private static final long STALE_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** An endpoint that sent bytes within this time can be reached on the connections that are open to it. */
    private static final long MAX_SILENCE_WITH_WORKING_LINK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Heartbeats without which the leader surely no longer lists an endpoint; one more than it may miss at most. */
    private static final int MISSED_HEARTBEATS_OF_CRASHED = 5;

    private final EventLog events;
    private final long maxPauseMs;
    private final long crashNoticedNanos;
    private final SendRestrictions restrictions = new SendRestrictions();
    private final EndpointLimits limits;
    private final Map<VmName, EndpointLoad> routable = new HashMap<>();
    private final List<EndpointLoad> retired = new ArrayList<>();
    private final QuarantinedParts quarantinedParts = new QuarantinedParts();
    private final QuarantinedRequests quarantinedRequests = new QuarantinedRequests();
    private final CrashReports crashReports;
    private final Map<VmName, String> faultyVms = new HashMap<>();
    private ImmutableMap<ModelVersionName, EngineLatencyModel> engines = ImmutableMap.of();
    private EntryView view;
    /** Term of the latest leader that was settled; 0 before the first. */
    private long latestTerm;

    private LinkState linkState = LinkState.WORKING;

    /**
     * @param maxPauseMs longest pause that an endpoint may ask for; longer ones are shortened to it
     * @param heartbeatMs usual time between two heartbeats of an endpoint
     */
    EndpointRegistry(
            EventLog events, Metrics metrics, long maxPauseMs, long heartbeatMs, LeaseTime now, long nowNanos) {
        this.events = events;
        this.crashReports = new CrashReports(events, metrics);
        this.limits = new EndpointLimits(restrictions, events);
        this.maxPauseMs = maxPauseMs;
        this.crashNoticedNanos = TimeUnit.MILLISECONDS.toNanos(MISSED_HEARTBEATS_OF_CRASHED * heartbeatMs);
        this.view = EntryView.empty(now, nowNanos);
    }

    EntryView view() {
        return view;
    }

    /** Replaces the view with a newer one and updates the endpoints. */
    void apply(EntryView next, long nowNanos) {
        if (next.version() != view.version()) {
            engines = next.configuration().map(EndpointRegistry::enginesOf).orElse(ImmutableMap.of());
        }
        if (next.term() != view.term() || next.changeNumber() != view.changeNumber()) {
            next.endpoints().forEach((vm, record) -> addOrUpdate(vm, record, nowNanos));
            retireRemoved(next);
        }
        routable.forEach((vm, load) -> load.setLoadFromOtherNodes(
                next.inFlightElsewhere().getOrDefault(vm.value(), 0),
                next.unreadTokensElsewhere().getOrDefault(vm.value(), 0)));
        retired.removeIf(load -> load.inFlight() == 0);
        crashReports.confirmSent(nowNanos);
        if (next.isSettled()) {
            if (latestTerm != 0 && next.term() != latestTerm) {
                crashReports.repeatForNewLeader();
            }
            latestTerm = next.term();
        }
        quarantinedParts.apply(next.quarantinedParts(), next.partsInQuestion());
        quarantinedRequests.apply(next.quarantinedRequests());
        if (next.isSettled()) {
            final ImmutableSet<VmIncarnation> alive = aliveEndpoints();
            quarantinedParts.confirmCompleted(alive, next.pullSentNanos() - crashNoticedNanos);
            quarantinedRequests.confirmCompleted(alive, next.pullSentNanos() - crashNoticedNanos);
        }
        view = next;
    }

    /** Returns the listed endpoints that the leader does not suspect. */
    private ImmutableSet<VmIncarnation> aliveEndpoints() {
        return routable.values().stream()
                .filter(load -> !load.isSuspect())
                .map(EndpointLoad::vm)
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns the endpoints of a service, or of one of its models, except those that are leaving and those in zones
     * that are out of service.
     */
    List<EndpointLoad> candidates(ServiceName service, Optional<ModelVersionName> model, long nowNanos) {
        if (nowNanos - view.pullSentNanos() > STALE_REPORT_NANOS) {
            routable.values().forEach(this::estimateLoadOfOtherEntries);
        }
        return routable.values().stream()
                .filter(load -> load.service().equals(service))
                .filter(load -> load.model().equals(model))
                .filter(load -> !view.zonesOut().contains(load.zone()))
                .filter(load -> !load.restriction().isLeaving())
                .collect(ImmutableList.toImmutableList());
    }

    Optional<EngineLatencyModel> engine(Optional<ModelVersionName> model) {
        return model.map(engines::get);
    }

    /**
     * Estimates the load of the other entry nodes at an endpoint: each is assumed to have as much as this node, but the
     * total does not exceed the last report.
     */
    private void estimateLoadOfOtherEntries(EndpointLoad load) {
        final int others = Math.max(0, view.entryNodes() - 1);
        final String vm = load.vm().vm().value();
        load.setLoadFromOtherNodes(
                Math.min(view.inFlightElsewhere().getOrDefault(vm, 0), others * load.inFlight()),
                Math.min(view.unreadTokensElsewhere().getOrDefault(vm, 0), others * load.ownPendingPromptTokens()));
    }

    /** Returns the endpoints of the latest view. */
    Collection<EndpointLoad> routableEndpoints() {
        return routable.values();
    }

    LinkState linkState() {
        return linkState;
    }

    /**
     * Sets the state of this node's links. No endpoint is avoided for what was observed while the links were cut; lost
     * requests are reported with that doubt.
     */
    void setLinkState(LinkState next) {
        if (next == LinkState.CUT) {
            crashReports.doubtUnreported();
        }
        if (linkState == LinkState.CUT) {
            routable.values().forEach(EndpointLoad::forgetFailures);
        }
        linkState = next;
    }

    /** Records that a request was in flight at an endpoint when the connection failed. */
    void recordCrash(String requestDigest, Set<PromptPartId> promptParts, EndpointLoad load, long nowNanos) {
        recordPossibleLoss(load.vm());
        crashReports.add(new ReportedLoss(
                new EndpointIncarnation(
                        EndpointId.of(load.vm().vm().value()), load.vm().incarnation()),
                requestDigest,
                promptParts,
                nowNanos,
                linkState == LinkState.CUT));
    }

    /** Records that an endpoint may have crashed, so that the responses that ended with its connections prove nothing. */
    void recordPossibleLoss(VmIncarnation endpoint) {
        quarantinedParts.recordLost(endpoint);
        quarantinedRequests.recordLost(endpoint);
    }

    /** Records that an endpoint stated that it leaves; it gets no new requests from now on. */
    void recordLeaving(EndpointLoad load) {
        if (load.restriction().recordLeaving()) {
            events.write(LogEvent.ENDPOINT_LEAVING, load.vm());
        }
    }

    /** Records the same of an endpoint whose response another entry node relayed, also if it is not listed now. */
    void recordLeaving(VmIncarnation vm, long nowNanos) {
        if (restrictions.of(vm, nowNanos).recordLeaving()) {
            events.write(LogEvent.ENDPOINT_LEAVING, vm);
        }
    }

    /** Records that an endpoint wants no requests from this node for a time. */
    void recordPause(EndpointLoad load, long requestedMs, long nowNanos) {
        final long pauseMs = Math.min(maxPauseMs, requestedMs);
        load.restriction().pauseUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMs));
        events.write(LogEvent.ENDPOINT_PAUSED, load.vm(), pauseMs, requestedMs);
    }

    /** Records the limit on requests that a response of an endpoint stated, or that it stated none. */
    void recordLimit(EndpointLoad load, OptionalDouble requestsPerSecond, long nowNanos) {
        limits.recordStated(load.vm(), requestsPerSecond, view.entryNodes(), nowNanos);
    }

    /** Returns the limits that endpoints stated, with what each report to the leader contains of them. */
    EndpointLimits limits() {
        return limits;
    }

    /** Records the VM that an endpoint named as the cause of its refusal. */
    void recordFaultyVm(EndpointLoad load, VmName faulty) {
        faultyVms.put(load.vm().vm(), faulty.value());
    }

    /**
     * Returns the usage of recently active, leaving and retired endpoints for the leader, and resets what is counted
     * per report.
     */
    ImmutableList<UsageRecord> drainUsage(long nowNanos) {
        final ImmutableList.Builder<UsageRecord> usage = ImmutableList.builder();
        routable.values().stream()
                .filter(load -> load.wasActiveWithin(ACTIVE_WINDOW_NANOS, nowNanos)
                        || load.restriction().isLeaving())
                .filter(load -> isEvidence(load, nowNanos))
                .forEach(load -> usage.add(usageOf(load, nowNanos)));
        retired.stream().filter(load -> isEvidence(load, nowNanos)).forEach(load -> usage.add(usageOf(load, nowNanos)));
        return usage.build();
    }

    /** Returns whether what this node sees of an endpoint may be due to the endpoint and not to this node's links. */
    private boolean isEvidence(EndpointLoad load, long nowNanos) {
        return linkState.showsEndpointFaults()
                || load.restriction().isLeaving()
                || (load.inFlight() > 0 && load.stalledNanos(nowNanos) < MAX_SILENCE_WITH_WORKING_LINK_NANOS);
    }

    /** Returns what this node knows of the prompt parts that crash endpoints. */
    QuarantinedParts quarantinedParts() {
        return quarantinedParts;
    }

    /** Returns what this node knows of the requests that crash endpoints. */
    QuarantinedRequests quarantinedRequests() {
        return quarantinedRequests;
    }

    /** Returns the lost requests that the leader does not have yet, for a pull. */
    ImmutableList<CrashRecord> unreportedCrashes(long nowNanos) {
        return crashReports.next(linkState, nowNanos);
    }

    private UsageRecord usageOf(EndpointLoad load, long nowNanos) {
        final UsageRecord usage = new UsageRecord(
                load.vm().vm().value(),
                load.vm().incarnation(),
                load.inFlight(),
                TimeUnit.NANOSECONDS.toMillis(load.stalledNanos(nowNanos)),
                load.takeRefusedConnection() && linkState.showsEndpointFaults(),
                load.takeProgressed(),
                Optional.ofNullable(faultyVms.remove(load.vm().vm())).orElse(""),
                load.ownPendingPromptTokens());
        return load.restriction().isLeaving() ? usage.setLeaving(true) : usage;
    }

    private void addOrUpdate(VmName vm, RoutableRecord record, long nowNanos) {
        final long coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(record.getColdForMs());
        final EndpointLoad known = routable.get(vm);
        if (known != null && isSame(known, record)) {
            known.setColdUntil(coldUntilNanos);
            known.setSuspect(record.isSuspect());
            return;
        }
        if (known != null) {
            retire(known);
        }
        final SendRestriction restriction = restrictions.of(EndpointLoadDecoder.incarnation(record), nowNanos);
        final EndpointLoad added = EndpointLoadDecoder.decode(record, restriction, coldUntilNanos, nowNanos);
        added.setSuspect(record.isSuspect());
        routable.put(vm, added);
        events.write(
                LogEvent.ENDPOINT_ROUTABLE,
                added.vm(),
                added.address(),
                added.zone(),
                added.model().map(ModelVersionName::value).orElse("-"));
    }

    private void retireRemoved(EntryView next) {
        final List<EndpointLoad> removed = routable.values().stream()
                .filter(load -> !next.endpoints().containsKey(load.vm().vm()))
                .toList();
        removed.forEach(load -> {
            routable.remove(load.vm().vm());
            retire(load);
        });
    }

    private void retire(EndpointLoad load) {
        events.write(LogEvent.ENDPOINT_NOT_ROUTABLE, load.vm(), load.inFlight());
        if (load.inFlight() > 0) {
            retired.add(load);
        }
    }

    private static boolean isSame(EndpointLoad load, RoutableRecord record) {
        return load.vm().incarnation() == record.getIncarnation()
                && load.address().equals(record.getAddress())
                && load.model().map(ModelVersionName::value).orElse("").equals(record.getModel());
    }

    private static ImmutableMap<ModelVersionName, EngineLatencyModel> enginesOf(PublishedConfiguration configuration) {
        return configuration.services().stream()
                .map(PublishedService::engine)
                .flatMap(Optional::stream)
                .flatMap(engine -> engine.models().stream()
                        .map(model ->
                                Map.entry(model.name(), new EngineLatencyModel(engine, model, new LearnedOverhead()))))
                .collect(
                        ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue, (first, second) -> second));
    }
}

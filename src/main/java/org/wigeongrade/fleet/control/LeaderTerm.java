package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.grouping.EndpointObservation;
import org.wigeongrade.decisions.grouping.GroupLedger;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.GroupPlan;
import org.wigeongrade.decisions.grouping.GroupPlanner;
import org.wigeongrade.decisions.grouping.GroupTimings;
import org.wigeongrade.decisions.grouping.OrderResponse;
import org.wigeongrade.decisions.grouping.ServingGroup;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.LossEvidence;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.decisions.outcomes.VmSighting;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.reachability.RelayDirectory;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.PullRequest;
import org.wigeongrade.fleet.thrift.QuarantinedRequestRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.nodes.CrashQuarantine;
import org.wigeongrade.nodes.PromptPartRecords;

/**
 * The in-memory state of a leader for one term: groups, routable endpoints, reports of entry nodes and quarantine.
 *
 * <p>Invariant: nothing here outlives the term; a new leader rebuilds everything from the log, heartbeats and pulls. Thread
 * safe; its lock is acquired before that of the registry.
 */
final class LeaderTerm {
    /**
     * An endpoint without an engine stops being routable after this many missed heartbeats, unless it still answers
     * requests.
     */
    private static final int PLAIN_MAX_MISSED_HEARTBEATS = 4;

    private final long term;
    private final GroupTimings timings;
    private final VmRegistry registry;
    private final EventLog events;
    private final long startedNanos;
    private final Map<ServiceName, GroupPlanner> planners = new HashMap<>();
    private final RoutableEndpointTable routableEndpoints = new RoutableEndpointTable();
    private final EntryNodeReports entryReports = new EntryNodeReports();
    private final EndpointLimitTable limits = new EndpointLimitTable();
    private final RelayDirectory relays =
            new RelayDirectory(TimeUnit.MILLISECONDS.toNanos(FleetTimings.PULL_INTERVAL_MS));
    private final CrashQuarantine quarantine;
    /** Whether heartbeats have come in for long enough to plan; until then, existing groups are only taken over. */
    private boolean settled;

    LeaderTerm(long term, GroupTimings timings, VmRegistry registry, EventLog events, long nowNanos) {
        this.term = term;
        this.timings = timings;
        this.registry = registry;
        this.events = events;
        this.startedNanos = nowNanos;
        this.quarantine = new CrashQuarantine(
                TimeUnit.MILLISECONDS.toNanos(FleetTimings.PULL_INTERVAL_MS),
                new LossEvidence(timings.heartbeatNanos(), nowNanos),
                this::sightingOf,
                events);
    }

    long term() {
        return term;
    }

    /**
     * Runs one planning step.
     *
     * @param state the published state, read while this node held its lease
     */
    synchronized GroupPlan plan(
            PublishedConfiguration configuration,
            PublishedState state,
            List<VmRecord> vms,
            boolean vmsKnown,
            long nowNanos) {
        settled = settled || vmsKnown;
        final List<GroupPlan> plans = new ArrayList<>();
        final Map<VmName, RoutableEndpointTable.RoutableEndpoint> routableByVm = new HashMap<>();
        final Map<VmName, EndpointObservation> evidence = entryReports.evidenceByVm(nowNanos);
        final ImmutableSet<VmName> groupMembers = state.groups().all().stream()
                .flatMap(group -> group.members().stream())
                .map(member -> member.vm().vm())
                .collect(ImmutableSet.toImmutableSet());
        for (final PublishedService service : configuration.services()) {
            final ImmutableList<VmRecord> serviceVms = vms.stream()
                    .filter(vm -> vm.heartbeat().service().equals(service.name()))
                    .collect(ImmutableList.toImmutableList());
            if (service.engine().isPresent()) {
                final GroupLedger ledger = GroupLedger.of(state, service.name());
                plans.add(planGroups(service, serviceVms, evidence, ledger, routableByVm, nowNanos));
            } else {
                addPlainEndpoints(serviceVms, groupMembers, evidence, routableByVm, nowNanos);
            }
        }
        routableEndpoints.replace(routableByVm, nowNanos);
        return GroupPlan.concat(plans);
    }

    /** Passes the outcome of an order to every planner. */
    synchronized void handleOrderAnswer(GroupOrder order, OrderResponse answer, long nowNanos) {
        planners.values().forEach(planner -> planner.recordResponse(order, answer, nowNanos));
    }

    /** Records the report of an entry node and writes the changes that the node does not have yet. */
    synchronized void handlePull(PullRequest request, PullReply reply, long nowNanos) {
        final NodeName node = NodeName.of(request.getNode());
        entryReports.update(node, request.getUsage(), nowNanos);
        final boolean complete = request.getTerm() != term;
        routableEndpoints.writeChanges(reply, request.getChangeNumber(), complete, nowNanos);
        reply.setTerm(term).setSettled(settled).setEntryVms(entryReports.countEntryNodes(nowNanos));
        handleCrashes(node, request, complete, reply, nowNanos);
        limits.record(request.getLimits(), nowNanos);
        limits.write(node, entryReports.entryNodes(nowNanos), complete, reply, nowNanos);
        entryReports.writeLoadOfOtherNodes(node, reply);
        final AvailabilityZone zone = AvailabilityZone.of(request.getAvailabilityZone());
        relays.record(node, zone, Optional.ofNullable(request.getRelayAddress()), nowNanos);
        reply.setRelayAddresses(relays.addressesFor(node, zone, nowNanos));
    }

    private GroupPlan planGroups(
            PublishedService service,
            ImmutableList<VmRecord> serviceVms,
            Map<VmName, EndpointObservation> evidence,
            GroupLedger ledger,
            Map<VmName, RoutableEndpointTable.RoutableEndpoint> routableByVm,
            long nowNanos) {
        final GroupPlanner planner = planners.computeIfAbsent(
                service.name(), name -> new GroupPlanner(term, timings, new GroupLog(events), startedNanos));
        final EngineProfile engine = service.engine().orElseThrow();
        if (!settled) {
            planner.adoptCompleteGroups(engine, serviceVms, ledger, nowNanos);
        }
        final GroupPlan plan =
                settled ? planner.plan(engine, serviceVms, evidence, ledger, nowNanos) : GroupPlan.NOTHING;
        final ImmutableMap<VmIncarnation, VmRecord> byIncarnation =
                serviceVms.stream().collect(ImmutableMap.toImmutableMap(VmRecord::vm, vm -> vm));
        for (final ServingGroup group : planner.serving(engine)) {
            Optional.ofNullable(byIncarnation.get(group.head()))
                    .ifPresent(head -> routableByVm.put(
                            head.vm().vm(),
                            new RoutableEndpointTable.RoutableEndpoint(
                                    head, Optional.of(group.model()), group.paceFactor(), group.suspect())));
        }
        return plan;
    }

    /** @param groupMembers VMs that the log holds in groups; one that is heard as another service's is another writer's */
    private void addPlainEndpoints(
            ImmutableList<VmRecord> serviceVms,
            ImmutableSet<VmName> groupMembers,
            Map<VmName, EndpointObservation> evidence,
            Map<VmName, RoutableEndpointTable.RoutableEndpoint> routableByVm,
            long nowNanos) {
        final long maxSilentNanos = PLAIN_MAX_MISSED_HEARTBEATS * timings.heartbeatNanos();
        serviceVms.stream()
                .filter(VmRecord::isStaying)
                .filter(vm -> !groupMembers.contains(vm.vm().vm()))
                .filter(vm -> vm.sinceHeartbeatNanos(nowNanos) <= maxSilentNanos
                        || Optional.ofNullable(evidence.get(vm.vm().vm()))
                                .filter(endpointEvidence -> endpointEvidence.progressedWithin(maxSilentNanos, nowNanos))
                                .isPresent())
                .forEach(vm -> routableByVm.put(
                        vm.vm().vm(), new RoutableEndpointTable.RoutableEndpoint(vm, Optional.empty(), 1, false)));
    }

    /**
     * Returns the latest heartbeat of an endpoint's VM. What entry nodes receive from its address proves nothing: another
     * process may have started there, which the registry does not believe at once.
     */
    private Optional<VmSighting> sightingOf(EndpointIncarnation endpoint) {
        return registry.find(VmName.of(endpoint.endpoint().value()))
                .map(known -> new VmSighting(known.vm().incarnation(), known.receivedNanos(), known.ended()));
    }

    private void handleCrashes(
            NodeName node, PullRequest request, boolean firstOfTerm, PullReply reply, long nowNanos) {
        request.getCrashes()
                .forEach(crash -> quarantine.recordLoss(new ReportedLoss(
                        new EndpointIncarnation(EndpointId.of(crash.getVm()), crash.getIncarnation()),
                        crash.getRequestDigest(),
                        PromptPartRecords.partsFromThrift(crash.getPromptParts()),
                        nowNanos - TimeUnit.MILLISECONDS.toNanos(crash.getAgeMs()),
                        crash.isLinksDoubted())));
        final var unused = quarantine.decideLosses(nowNanos);
        quarantine.recordReport(
                node,
                request.getPartCompletions(),
                request.getRefusedParts(),
                request.getQuarantinedParts(),
                request.getQuarantinedRequests(),
                request.getRefusedRequests(),
                request.getCompletedTrials(),
                firstOfTerm,
                nowNanos);
        final ImmutableList<QuarantinedRequestRecord> requests = quarantine.quarantinedRequests(node, nowNanos);
        reply.setQuarantinedRequests(requests)
                .setQuarantined(requests.stream()
                        .map(QuarantinedRequestRecord::getRequestDigest)
                        .toList())
                .setQuarantinedParts(quarantine.quarantinedParts(node, nowNanos))
                .setPartsInQuestion(quarantine.partsInQuestion());
    }
}

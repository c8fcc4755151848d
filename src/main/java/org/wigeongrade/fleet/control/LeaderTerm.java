package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.grouping.GroupChange;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.GroupPlanner;
import org.wigeongrade.decisions.grouping.GroupTimings;
import org.wigeongrade.decisions.grouping.OrderAnswer;
import org.wigeongrade.decisions.grouping.ServingGroup;
import org.wigeongrade.decisions.outcomes.CrashReport;
import org.wigeongrade.decisions.outcomes.CrashSuspects;
import org.wigeongrade.decisions.outcomes.EndpointLife;
import org.wigeongrade.decisions.outcomes.Quarantine;
import org.wigeongrade.decisions.outcomes.QuarantineProposal;
import org.wigeongrade.decisions.outcomes.QuarantineTable;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.PullRequest;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * What a leader decides in one term and holds in memory only: groups, routable endpoints, evidence, quarantine.
 *
 * <p>Invariant: nothing here outlives the term; everything is rebuilt from heartbeats and pulls. Thread safe; its lock is
 * taken before that of the registry.
 */
final class LeaderTerm {
    /** A plain endpoint that was silent for this many heartbeats is routed to no more, unless it answers. */
    private static final int PLAIN_SILENT_HEARTBEATS = 4;
    /** A request that crashed endpoints is refused for this long; clients give up long before. */
    private static final long QUARANTINE_MS = 60_000;
    /** A request that was at one lost endpoint is remembered for this long. */
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final long term;
    private final GroupTimings timings;
    private final EventLog events;
    private final long startedNanos;
    private final Map<ServiceName, GroupPlanner> planners = new HashMap<>();
    private final RoutableTable routables = new RoutableTable();
    private final EvidenceTable evidence = new EvidenceTable();
    private final CrashSuspects suspects = new CrashSuspects(SUSPECT_NANOS, 0);
    private final QuarantineTable quarantine = new QuarantineTable();
    private long crashSequence;
    private boolean settled;

    LeaderTerm(long term, GroupTimings timings, EventLog events, long nowNanos) {
        this.term = term;
        this.timings = timings;
        this.events = events;
        this.startedNanos = nowNanos;
    }

    long term() {
        return term;
    }

    /** Makes one step of planning and returns the orders to give. */
    synchronized ImmutableList<GroupOrder> plan(
            PublishedConfiguration configuration, List<VmRecord> vms, boolean vmsKnown, long nowNanos) {
        settled = settled || vmsKnown;
        final ImmutableList.Builder<GroupOrder> orders = ImmutableList.builder();
        final Map<VmName, RoutableTable.Routable> routable = new HashMap<>();
        for (final PublishedService service : configuration.services()) {
            final ImmutableList<VmRecord> own = vms.stream()
                    .filter(vm -> vm.heartbeat().service().equals(service.name()))
                    .collect(ImmutableList.toImmutableList());
            if (service.engine().isPresent()) {
                orders.addAll(planGroups(service, own, routable, nowNanos));
            } else {
                addPlain(own, routable, nowNanos);
            }
        }
        routables.replace(routable);
        return orders.build();
    }

    synchronized void answered(GroupOrder order, OrderAnswer answer, long nowNanos) {
        planners.values().forEach(planner -> planner.answered(order, answer, nowNanos));
    }

    /** Takes in what an entry node saw and writes what it does not know yet. */
    synchronized void answer(PullRequest request, PullReply reply, long nowNanos) {
        final NodeName node = NodeName.of(request.getNode());
        evidence.report(node, request.getUsage(), nowNanos);
        takeCrashes(node, request.getCrashes(), nowNanos);
        final boolean complete = request.getTerm() != term;
        routables.write(reply, request.getChangeNumber(), complete, nowNanos);
        reply.setTerm(term)
                .setSettled(settled)
                .setEntryVms(evidence.entryNodes(nowNanos))
                .setInFlightElsewhere(evidence.elsewhere(node, UsageRecord::getInFlight))
                .setUnreadTokensElsewhere(evidence.elsewhere(node, UsageRecord::getUnreadTokens))
                .setQuarantined(quarantined(nowNanos));
    }

    private ImmutableList<GroupOrder> planGroups(
            PublishedService service,
            ImmutableList<VmRecord> vms,
            Map<VmName, RoutableTable.Routable> routable,
            long nowNanos) {
        final GroupPlanner planner = planners.computeIfAbsent(
                service.name(), name -> new GroupPlanner(term, timings, this::note, startedNanos));
        final EngineProfile engine = service.engine().orElseThrow();
        if (!settled) {
            planner.takeOver(engine, vms, nowNanos);
        }
        final ImmutableList<GroupOrder> orders =
                settled ? planner.plan(engine, vms, evidence.evidence(nowNanos), nowNanos) : ImmutableList.of();
        final ImmutableMap<VmIncarnation, VmRecord> byLife =
                vms.stream().collect(ImmutableMap.toImmutableMap(VmRecord::vm, vm -> vm));
        for (final ServingGroup group : planner.serving(engine)) {
            Optional.ofNullable(byLife.get(group.head()))
                    .ifPresent(head -> routable.put(
                            head.vm().vm(),
                            new RoutableTable.Routable(
                                    head, Optional.of(group.model()), group.paceFactor(), group.suspect())));
        }
        return orders;
    }

    private void addPlain(ImmutableList<VmRecord> vms, Map<VmName, RoutableTable.Routable> routable, long nowNanos) {
        final long silentNanos = PLAIN_SILENT_HEARTBEATS * timings.heartbeatNanos();
        final var seen = evidence.evidence(nowNanos);
        vms.stream()
                .filter(VmRecord::isStaying)
                .filter(vm -> vm.silentNanos(nowNanos) <= silentNanos
                        || Optional.ofNullable(seen.get(vm.vm().vm()))
                                .filter(found -> found.progressedWithin(silentNanos, nowNanos))
                                .isPresent())
                .forEach(vm -> routable.put(vm.vm().vm(), new RoutableTable.Routable(vm, Optional.empty(), 1, false)));
    }

    private void takeCrashes(NodeName node, List<CrashRecord> crashes, long nowNanos) {
        if (crashes.isEmpty()) {
            return;
        }
        final List<CrashReport.Loss> losses = crashes.stream()
                .map(crash -> new CrashReport.Loss(
                        crash.getRequestDigest(),
                        new EndpointLife(EndpointId.of(crash.getVm()), crash.getIncarnation())))
                .toList();
        final CrashReport report = new CrashReport(++crashSequence, ImmutableSet.copyOf(losses), ImmutableSet.of());
        final long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
        for (final QuarantineProposal proposal : suspects.report(node, report, nowNanos)) {
            quarantine.add(proposal.requestDigest(), "crashed endpoints", nowMs, nowMs + QUARANTINE_MS);
            events.write(
                    LogEvent.REQUEST_QUARANTINED,
                    proposal.requestDigest(),
                    proposal.endpointsLost().size());
        }
    }

    private List<String> quarantined(long nowNanos) {
        quarantine.expire(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        return quarantine.entries().stream().map(Quarantine::requestDigest).toList();
    }

    private void note(GroupChange change) {
        events.write(
                LogEvent.GROUP_PHASE_CHANGED,
                change.group(),
                change.model(),
                change.phase(),
                change.members(),
                change.cause());
    }
}

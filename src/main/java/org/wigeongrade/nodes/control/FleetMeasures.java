package org.wigeongrade.nodes.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;

/**
 * Adds up group downtime and stranded accelerators while this VM leads, and logs groups that begin or cease to serve.
 *
 * <p>Invariant: each span of time counts once; time without a leader is not counted. Used by one thread.
 */
public final class FleetMeasures {
    /** Name of the pool under which accelerators in no group are counted. */
    private static final PoolName NO_POOL = new PoolName("none");

    private final Metrics metrics;
    private final EventLog events;
    private final Set<GroupName> serving = new HashSet<>();
    private long term;
    private long countedUntilNanos;

    public FleetMeasures(Metrics metrics, EventLog events) {
        this.metrics = metrics;
        this.events = events;
    }

    /** States whether this VM leads. */
    void leads(boolean isLeader) {
        metrics.setLeader(isLeader);
    }

    void update(ControlState state, Leadership leadership, long nowNanos) {
        final FleetSnapshot fleet = leadership.snapshot(state, nowNanos);
        logChanges(state, fleet);
        if (term != leadership.term()) {
            term = leadership.term();
            countedUntilNanos = nowNanos;
            return;
        }
        final long spanMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - countedUntilNanos);
        countedUntilNanos += TimeUnit.MILLISECONDS.toNanos(spanMs);
        countDowntime(state, fleet, spanMs);
        countStranded(state, fleet, leadership, spanMs, nowNanos);
    }

    private void countDowntime(ControlState state, FleetSnapshot fleet, long spanMs) {
        final Map<PoolName, Integer> servingGroups = new HashMap<>();
        for (final FormedGroup group : state.groups()) {
            if (serves(group, fleet)) {
                servingGroups.merge(group.pool(), 1, Integer::sum);
            }
        }
        for (final PoolDeclaration pool : state.declaredSet().pools()) {
            final int down = pool.replicas() - servingGroups.getOrDefault(pool.name(), 0);
            metrics.addGroupDowntimeMs(pool.name(), Math.max(0, down) * spanMs);
        }
    }

    private void countStranded(
            ControlState state, FleetSnapshot fleet, Leadership leadership, long spanMs, long nowNanos) {
        final Map<VmName, FormedGroup> groups = new HashMap<>();
        for (final FormedGroup group : state.groups()) {
            group.members().forEach(member -> groups.put(member.vm(), group));
        }
        final Map<PoolName, Integer> stranded = new HashMap<>();
        for (final Announcement said : leadership.announcements().live(nowNanos)) {
            final FormedGroup group = groups.get(said.vm().vm());
            final boolean used = group != null && serves(group, fleet);
            if (said.kind() == EndpointKind.ENGINE && !used) {
                stranded.merge(group == null ? NO_POOL : group.pool(), said.accelerators(), Integer::sum);
            }
        }
        stranded.forEach((pool, accelerators) -> metrics.addStrandedAcceleratorMs(pool, accelerators * spanMs));
    }

    private static boolean serves(FormedGroup group, FleetSnapshot fleet) {
        return fleet.servingDeadlinesNanos().containsKey(group.group().value());
    }

    private void logChanges(ControlState state, FleetSnapshot fleet) {
        for (final FormedGroup group : state.groups()) {
            if (serves(group, fleet) && serving.add(group.group())) {
                events.write(LogEvent.GROUP_SERVING, group.group(), group.modelVersion());
            }
            if (!serves(group, fleet) && serving.remove(group.group())) {
                events.write(
                        LogEvent.GROUP_NOT_SERVING,
                        group.group(),
                        fleet.notServing().getOrDefault(group.group().value(), "unknown"));
            }
        }
        serving.removeIf(
                name -> state.groups().stream().noneMatch(group -> group.group().equals(name)));
    }
}

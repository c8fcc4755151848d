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
 * Counts group downtime and stranded accelerators (those of engine VMs that are in no serving group) while this VM is
 * the leader, and logs when a group starts or stops serving.
 *
 * <p>Invariant: each time span is counted once; time without a leader is not counted. Used by one thread.
 */
public final class FleetMetrics {
    /** The pool name under which accelerators that belong to no group are counted. */
    private static final PoolName NO_POOL = new PoolName("none");

    private final Metrics metrics;
    private final EventLog events;
    private final Set<GroupName> serving = new HashSet<>();
    private long term;
    private long countedUntilNanos;

    public FleetMetrics(Metrics metrics, EventLog events) {
        this.metrics = metrics;
        this.events = events;
    }

    /** Sets the metric for whether this VM is the leader. */
    void setLeader(boolean isLeader) {
        metrics.setLeader(isLeader);
    }

    void update(ControlState state, LeaderState leaderState, long nowNanos) {
        final FleetSnapshot fleet = leaderState.snapshot(state, nowNanos);
        logChanges(state, fleet);
        if (term != leaderState.term()) {
            term = leaderState.term();
            countedUntilNanos = nowNanos;
            return;
        }
        final long spanMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - countedUntilNanos);
        countedUntilNanos += TimeUnit.MILLISECONDS.toNanos(spanMs);
        countDowntime(state, fleet, spanMs);
        countStranded(state, fleet, leaderState, spanMs, nowNanos);
    }

    private void countDowntime(ControlState state, FleetSnapshot fleet, long spanMs) {
        final Map<PoolName, Integer> servingGroups = new HashMap<>();
        for (final FormedGroup group : state.groups()) {
            if (isServing(group, fleet)) {
                servingGroups.merge(group.pool(), 1, Integer::sum);
            }
        }
        for (final PoolDeclaration pool : state.declaredSet().pools()) {
            final int missing = pool.replicas() - servingGroups.getOrDefault(pool.name(), 0);
            metrics.addGroupDowntimeMs(pool.name(), Math.max(0, missing) * spanMs);
        }
    }

    private void countStranded(
            ControlState state, FleetSnapshot fleet, LeaderState leaderState, long spanMs, long nowNanos) {
        final Map<VmName, FormedGroup> groups = new HashMap<>();
        for (final FormedGroup group : state.groups()) {
            group.members().forEach(member -> groups.put(member.vm(), group));
        }
        final Map<PoolName, Integer> stranded = new HashMap<>();
        for (final Announcement announcement : leaderState.announcements().live(nowNanos)) {
            final FormedGroup group = groups.get(announcement.vm().vm());
            final boolean used = group != null && isServing(group, fleet);
            if (announcement.kind() == EndpointKind.ENGINE && !used) {
                stranded.merge(group == null ? NO_POOL : group.pool(), announcement.accelerators(), Integer::sum);
            }
        }
        stranded.forEach((pool, accelerators) -> metrics.addStrandedAcceleratorMs(pool, accelerators * spanMs));
    }

    private static boolean isServing(FormedGroup group, FleetSnapshot fleet) {
        return fleet.servingDeadlinesNanos().containsKey(group.group().value());
    }

    private void logChanges(ControlState state, FleetSnapshot fleet) {
        for (final FormedGroup group : state.groups()) {
            if (isServing(group, fleet) && serving.add(group.group())) {
                events.write(LogEvent.GROUP_SERVING, group.group(), group.modelVersion());
            }
            if (!isServing(group, fleet) && serving.remove(group.group())) {
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

package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ModelVersionDeclaration;
import org.wigeongrade.decisions.config.PlacementObjective;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.config.ZoneDeclaration;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.placement.PlacementAction;
import org.wigeongrade.decisions.placement.PlacementInput;
import org.wigeongrade.decisions.placement.PlacementPlanner;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.VmName;

/** Runs a planner against a failure schedule in steps of one second of virtual time. Not thread-safe. */
final class PlacementRun {
    static final int WARM_UP_SECONDS = 1_200;
    static final int ZONES = 3;
    static final int DOMAINS_PER_ZONE = 5;
    static final int VMS_PER_DOMAIN = 16;
    static final int VMS = ZONES * DOMAINS_PER_ZONE * VMS_PER_DOMAIN;
    private static final int VMS_PER_REPLICA = 4;
    private static final int ACCELERATORS_PER_VM = 8;
    private static final int MAX_LOADS = 8;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long LOAD_NANOS = 60 * SECOND_NANOS;

    private final VirtualFleet fleet;
    private final FailureSchedule schedule;
    private final List<FailureSchedule.Failure> activeFailures = new ArrayList<>();
    private final Set<GroupName> servingBefore = new HashSet<>();
    private final Map<GroupName, Long> downSinceSeconds = new HashMap<>();
    private int nextFailure;
    private long outages;
    private long downtimeSeconds;
    private long strandedAcceleratorSeconds;
    private long servingGroupSeconds;
    private int fewestServingGroups = Integer.MAX_VALUE;

    private PlacementRun(VirtualFleet fleet, FailureSchedule schedule) {
        this.fleet = fleet;
        this.schedule = schedule;
    }

    static PlacementResult run(
            String plannerName,
            int replicas,
            PlacementObjective objective,
            int spares,
            FailureSchedule schedule,
            Function<PlacementInput, List<PlacementAction>> planner) {
        final VirtualFleet fleet = new VirtualFleet(vms(ZONES * DOMAINS_PER_ZONE), planner);
        fleet.declare(declaredSet(replicas, objective, spares));
        final PlacementRun run = new PlacementRun(fleet, schedule);
        final long endSeconds = schedule.endSeconds() + WARM_UP_SECONDS;
        for (long second = 1; second <= endSeconds; second++) {
            run.step(second);
        }
        return run.result(plannerName, replicas, endSeconds - WARM_UP_SECONDS);
    }

    private void step(long second) {
        applyFailures(second);
        fleet.step(SECOND_NANOS);
        if (second > WARM_UP_SECONDS) {
            measure(second);
        }
    }

    private void applyFailures(long second) {
        while (nextFailure < schedule.failures().size()
                && schedule.failures().get(nextFailure).startSeconds() <= second) {
            final FailureSchedule.Failure failure = schedule.failures().get(nextFailure);
            affectedVms(failure).forEach(VirtualVm::stop);
            activeFailures.add(failure);
            nextFailure++;
        }
        final List<FailureSchedule.Failure> ended = activeFailures.stream()
                .filter(failure -> failure.endSeconds() <= second)
                .toList();
        ended.forEach(failure ->
                affectedVms(failure).stream().filter(vm -> !vm.isRunning()).forEach(failure.kind()::recover));
        activeFailures.removeAll(ended);
    }

    private List<VirtualVm> affectedVms(FailureSchedule.Failure failure) {
        final VirtualVm failedVm = fleet.vms().get(failure.vmIndex());
        if (!failure.kind().affectsWholeDomain()) {
            return List.of(failedVm);
        }
        return fleet.vms().stream()
                .filter(vm -> vm.domain().equals(failedVm.domain()))
                .toList();
    }

    private void measure(long second) {
        final List<FormedGroup> groups = fleet.servingGroups();
        final Set<GroupName> servingNow = new HashSet<>();
        groups.forEach(group -> servingNow.add(group.group()));
        for (final GroupName group : servingNow) {
            final Long sinceSeconds = downSinceSeconds.remove(group);
            downtimeSeconds += sinceSeconds == null ? 0 : second - sinceSeconds;
        }
        for (final GroupName group : servingBefore) {
            if (!servingNow.contains(group)) {
                downSinceSeconds.put(group, second);
                outages++;
            }
        }
        servingBefore.clear();
        servingBefore.addAll(servingNow);
        servingGroupSeconds += groups.size();
        fewestServingGroups = Math.min(fewestServingGroups, groups.size());
        final long running = fleet.vms().stream().filter(VirtualVm::isRunning).count();
        strandedAcceleratorSeconds +=
                ACCELERATORS_PER_VM * Math.max(0, running - (long) groups.size() * VMS_PER_REPLICA);
    }

    private PlacementResult result(String plannerName, int replicas, long seconds) {
        final long endSecond = seconds + WARM_UP_SECONDS;
        downSinceSeconds.values().forEach(sinceSeconds -> downtimeSeconds += endSecond - sinceSeconds);
        return new PlacementResult(
                plannerName,
                replicas,
                schedule.failures().size(),
                seconds,
                outages,
                downtimeSeconds,
                outages == 0 ? 0 : (double) downtimeSeconds / outages,
                strandedAcceleratorSeconds,
                (double) strandedAcceleratorSeconds / seconds,
                (double) servingGroupSeconds / seconds,
                fewestServingGroups);
    }

    /**
     * Returns a fleet in which the given number of groups are formed and serving, with as many fabric domains as they
     * need.
     */
    static VirtualFleet formedFleet(int groups) {
        final int groupsPerDomain = VMS_PER_DOMAIN / VMS_PER_REPLICA;
        final int domains = (groups + groupsPerDomain - 1) / groupsPerDomain;
        final VirtualFleet fleet = new VirtualFleet(vms(domains), PlacementPlanner::plan);
        fleet.declare(declaredSet(groups, PlacementObjective.STRANDED_ACCELERATORS, 0));
        while (fleet.servingGroups().size() < groups) {
            fleet.step(10 * SECOND_NANOS);
        }
        return fleet;
    }

    private static List<VirtualVm> vms(int domains) {
        final List<VirtualVm> vms = new ArrayList<>();
        for (int number = 0; number < domains * VMS_PER_DOMAIN; number++) {
            final int domain = number / VMS_PER_DOMAIN;
            vms.add(new VirtualVm(
                    VmName.of("vm-" + number),
                    zone(domain * ZONES / domains),
                    FabricDomain.of("domain-" + domain),
                    ACCELERATORS_PER_VM,
                    LOAD_NANOS));
        }
        return vms;
    }

    private static AvailabilityZone zone(int number) {
        return AvailabilityZone.of("zone-" + number);
    }

    private static DeclaredSet declaredSet(int replicas, PlacementObjective objective, int spares) {
        final List<AvailabilityZone> zones = List.of(zone(0), zone(1), zone(2));
        final ModelVersionName version = ModelVersionName.of("guide-1");
        final PoolDeclaration pool = new PoolDeclaration(
                PoolName.of("guide"),
                version,
                replicas,
                VMS_PER_REPLICA,
                8,
                2,
                objective,
                spares,
                true,
                60_000,
                MAX_LOADS,
                zones);
        return new DeclaredSet(
                zones.stream().map(zone -> new ZoneDeclaration(zone, "region")).toList(),
                List.of(new ModelVersionDeclaration(version, "guide", "guide-1")),
                List.of(pool),
                List.of(),
                List.of(),
                List.of());
    }
}

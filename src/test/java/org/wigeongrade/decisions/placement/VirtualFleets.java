package org.wigeongrade.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import org.wigeongrade.bench.VirtualFleet;
import org.wigeongrade.bench.VirtualVm;
import org.wigeongrade.decisions.TestDeclaredSets;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.VmName;

/** Creates and runs virtual fleets for tests. Stateless. */
final class VirtualFleets {
    static final long SECOND_NANOS = 1_000_000_000L;
    static final long LOAD_NANOS = 20 * SECOND_NANOS;

    private VirtualFleets() {}

    /** Returns a fleet of three availability zones with the given fabric domains and VMs in each. */
    static VirtualFleet of(int domainsPerZone, int vmsPerDomain) {
        final List<VirtualVm> vms = new ArrayList<>();
        for (final AvailabilityZone zone :
                List.of(TestDeclaredSets.ZONE_A, TestDeclaredSets.ZONE_B, TestDeclaredSets.ZONE_C)) {
            for (int domain = 1; domain <= domainsPerZone; domain++) {
                addDomain(vms, zone, zone.value() + "-d" + domain, vmsPerDomain);
            }
        }
        return new VirtualFleet(vms, PlacementPlanner::plan);
    }

    private static void addDomain(List<VirtualVm> vms, AvailabilityZone zone, String domain, int count) {
        for (int number = 1; number <= count; number++) {
            final VmName name = VmName.of(domain + "-v" + number);
            vms.add(new VirtualVm(name, zone, FabricDomain.of(domain), 8, LOAD_NANOS));
        }
    }

    static void run(VirtualFleet fleet, int seconds) {
        for (int second = 0; second < seconds; second++) {
            fleet.step(SECOND_NANOS);
        }
    }

    static VirtualVm vm(VirtualFleet fleet, String name) {
        return fleet.vms().stream()
                .filter(vm -> vm.name().value().equals(name))
                .findFirst()
                .orElseThrow();
    }
}

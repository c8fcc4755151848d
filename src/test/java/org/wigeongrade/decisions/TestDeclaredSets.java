package org.wigeongrade.decisions;

import java.util.List;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ModelVersionDeclaration;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.decisions.config.PlacementObjective;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.config.ServiceDeclaration;
import org.wigeongrade.decisions.config.ZoneDeclaration;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.ServiceName;

/** Creates declared sets and objects for tests. Stateless. */
public final class TestDeclaredSets {
    public static final AvailabilityZone ZONE_A = AvailabilityZone.of("zone-a");
    public static final AvailabilityZone ZONE_B = AvailabilityZone.of("zone-b");
    public static final AvailabilityZone ZONE_C = AvailabilityZone.of("zone-c");
    public static final ModelVersionName GUIDE_1 = ModelVersionName.of("guide-1");
    public static final ModelVersionName GUIDE_2 = ModelVersionName.of("guide-2");
    public static final PoolName GUIDE = PoolName.of("guide");
    public static final String DIGEST = "ab".repeat(32);

    private TestDeclaredSets() {}

    /**
     * Returns a set with the given pool, three availability zones, two model versions, one service and one
     * organisation.
     */
    public static DeclaredSet with(PoolDeclaration pool) {
        return new DeclaredSet(
                List.of(zone(ZONE_A), zone(ZONE_B), zone(ZONE_C)),
                List.of(version(GUIDE_1), version(GUIDE_2)),
                List.of(pool),
                List.of(),
                List.of(service(8, 1)),
                List.of(organisation("carrick", DIGEST)));
    }

    public static DeclaredSet valid() {
        return with(pool(2, 2));
    }

    public static PoolDeclaration pool(int replicas, int vmsPerReplica) {
        return pool(replicas, vmsPerReplica, GUIDE_1, PlacementObjective.GROUP_DOWNTIME, 0, true, 100);
    }

    public static PoolDeclaration pool(
            int replicas,
            int vmsPerReplica,
            ModelVersionName version,
            PlacementObjective weighs,
            int warmSpares,
            boolean fencingChecked,
            int maxLoads) {
        return new PoolDeclaration(
                GUIDE,
                version,
                replicas,
                vmsPerReplica,
                8,
                2,
                weighs,
                warmSpares,
                fencingChecked,
                60_000,
                maxLoads,
                List.of(ZONE_A, ZONE_B, ZONE_C));
    }

    public static ServiceDeclaration service(int capacity, int coldCapacity) {
        return new ServiceDeclaration(
                ServiceName.of("portal"), capacity, coldCapacity, 10_000, List.of("GET"), List.of(ZONE_A));
    }

    public static OrganisationDeclaration organisation(String name, String... digests) {
        return new OrganisationDeclaration(OrganisationName.of(name), List.of(digests), 10, 10, 1_000);
    }

    public static ZoneDeclaration zone(AvailabilityZone zone) {
        return new ZoneDeclaration(zone, "region");
    }

    public static ModelVersionDeclaration version(ModelVersionName version) {
        return new ModelVersionDeclaration(version, "guide", version.value());
    }
}

package org.wigeongrade.decisions.config;

import java.util.List;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.PoolName;

/**
 * Declares a pool of replicas of one model version.
 *
 * <p>{@code replicas} groups named {@code <pool>/<number>} are formed and spread over {@code zones}, in addition to
 * groups declared by name. {@code capacity} and {@code coldCapacity} are the maximum requests in flight for each
 * replica, when warm and during a cold start. {@code weighs} is what placement optimises for. {@code warmSpares} VMs in
 * each availability zone are kept out of groups to replace lost members. {@code fencingChecked} is whether the
 * endpoints check fencing tokens. {@code longestRunMs} is the longest time that one request may run. {@code maxLoads}
 * is the maximum number of replicas that read the weight store at once. Immutable; safe for use from any thread.
 */
public record PoolDeclaration(
        PoolName name,
        ModelVersionName modelVersion,
        int replicas,
        int vmsPerReplica,
        int capacity,
        int coldCapacity,
        PlacementObjective weighs,
        int warmSpares,
        boolean fencingChecked,
        long longestRunMs,
        int maxLoads,
        List<AvailabilityZone> zones) {
    public PoolDeclaration {
        zones = zones == null ? List.of() : List.copyOf(zones);
    }
}

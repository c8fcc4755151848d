package org.wigeongrade.bench;

/**
 * Result of one placement run. {@code groupDowntimeSeconds} is the sum, over all groups, of the time between the end of
 * serving and the next start of serving. {@code strandedAcceleratorSeconds} is the number of accelerators on running
 * VMs outside serving groups, summed over time. Immutable; safe for use from any thread.
 */
public record PlacementResult(
        String planner,
        int replicas,
        int failures,
        long seconds,
        long outages,
        long groupDowntimeSeconds,
        double meanOutageSeconds,
        long strandedAcceleratorSeconds,
        double meanStrandedAccelerators,
        double meanServingGroups,
        int fewestServingGroups) {}

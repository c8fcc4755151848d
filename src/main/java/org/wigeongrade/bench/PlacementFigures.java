package org.wigeongrade.bench;

/**
 * Figures of one placement run. {@code groupDowntimeSeconds} adds up, over the groups, the time between the end of
 * serving and serving again; {@code strandedAcceleratorSeconds} the accelerators of running VMs outside serving groups.
 * Immutable; safe for use from any thread.
 */
public record PlacementFigures(
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

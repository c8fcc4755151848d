package org.wigeongrade.bench;

/**
 * One run of {@link ShareSimulation}: sizes, load and faults. {@code loadFactor} is the offered load as a ratio of what
 * warm endpoints can serve. {@code skewed} sends most of the load to one entry VM. {@code meanFaultIntervalMs} is the
 * mean time between faults, which kill or freeze entry VMs or change the leader; if there are faults, messages are also
 * lost or delayed. {@code meanColdStartIntervalMs} is the mean time between unannounced cold starts of endpoints. An
 * interval of 0 means no such faults or cold starts. Immutable; safe for use from any thread.
 */
public record ShareScenario(
        long seed,
        ShareMechanism mechanism,
        int entryVms,
        int endpoints,
        int capacity,
        int coldCapacity,
        double loadFactor,
        boolean skewed,
        long meanFaultIntervalMs,
        long meanColdStartIntervalMs,
        int virtualSeconds) {
    boolean hasFaults() {
        return meanFaultIntervalMs > 0;
    }
}

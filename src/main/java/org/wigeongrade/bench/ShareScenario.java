package org.wigeongrade.bench;

/**
 * One run of {@link ShareSimulation}: sizes, load and faults. {@code loadFactor} is the offered load as part of what warm
 * endpoints can bear. {@code skewed} sends most load to one entry VM. {@code betweenFaultsMs} is the mean time between
 * faults, which kill or freeze entry VMs or change the leader; with any, messages are lost and late too. {@code
 * betweenColdStartsMs} is the mean time between endpoints that turn cold without warning. 0 means none. Immutable; safe
 * for use from any thread.
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
        long betweenFaultsMs,
        long betweenColdStartsMs,
        int virtualSeconds) {
    boolean hasFaults() {
        return betweenFaultsMs > 0;
    }
}

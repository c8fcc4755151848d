package org.wigeongrade.fleet.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The entry nodes to which this node can relay requests. Used on the event loop only.
 *
 * <p>Invariant: of two random ones the less busy one is chosen, so that one that does not answer soon gets no more. One
 * that failed is used only if there is no other.
 */
final class RelayPeers {
    /** Time for which a peer that failed is avoided; the leader stops naming it within the same time. */
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final RandomGenerator random;
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

    RelayPeers(RandomGenerator random) {
        this.random = random;
    }

    /** Returns one of the addresses for a request that was not relayed to the tried ones. */
    Optional<String> choose(List<String> addresses, Set<String> tried, long nowNanos) {
        avoidedUntilNanos.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
        final List<String> untried =
                addresses.stream().filter(address -> !tried.contains(address)).toList();
        final List<String> preferred = untried.stream()
                .filter(address -> !avoidedUntilNanos.containsKey(address))
                .toList();
        final List<String> candidates = preferred.isEmpty() ? untried : preferred;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        final String first = candidates.get(random.nextInt(candidates.size()));
        final String second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(load(first) <= load(second) ? first : second);
    }

    private int load(String address) {
        return inFlight.getOrDefault(address, 0);
    }

    void recordSent(String address) {
        inFlight.merge(address, 1, Integer::sum);
    }

    void recordEnded(String address) {
        inFlight.computeIfPresent(address, (peer, count) -> count > 1 ? count - 1 : null);
    }

    void recordFailure(String address, long nowNanos) {
        avoidedUntilNanos.put(address, nowNanos + AVOID_NANOS);
    }
}

package org.wigeongrade.decisions.reachability;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;

/**
 * The entry nodes that take requests from entry nodes that reach no endpoint. Each node is told a few of its own and of
 * the other availability zones, so that it knows some before it needs them.
 *
 * <p>Invariants: a node that has not pulled for the expiry time, or that takes no requests, is not named; a pull
 * costs time in proportion to the availability zones and to the nodes that it names, not to all nodes. Time is a
 * parameter. Not thread safe.
 */
public final class RelayDirectory {
    /** Pulls without which a node is taken for killed or partitioned from the leader. */
    private static final int EXPIRY_PULLS = 4;
    /** Nodes that are named of the reader's own availability zone, and of all others together. */
    private static final int NAMED_IN_ZONE = 3;

    private static final int NAMED_ELSEWHERE = 3;

    private record Relay(NodeName node, AvailabilityZone zone, String address, long pulledNanos) {}

    private final long expiryNanos;
    private final Map<NodeName, Relay> relays = new HashMap<>();
    private final Map<AvailabilityZone, List<NodeName>> nodesByZone = new TreeMap<>();

    /** @param pullIntervalNanos time between two pulls of a node */
    public RelayDirectory(long pullIntervalNanos) {
        this.expiryNanos = EXPIRY_PULLS * pullIntervalNanos;
    }

    /** Records where a node takes relayed requests; empty if it takes none. */
    public void record(NodeName node, AvailabilityZone zone, Optional<String> address, long nowNanos) {
        if (address.isEmpty()) {
            remove(node);
            return;
        }
        final Relay previous = relays.put(node, new Relay(node, zone, address.get(), nowNanos));
        if (previous == null) {
            nodesByZone.computeIfAbsent(zone, unused -> new ArrayList<>()).add(node);
        }
    }

    private void remove(NodeName node) {
        final Relay removed = relays.remove(node);
        if (removed != null) {
            nodesByZone.get(removed.zone()).remove(node);
        }
    }

    /** Returns the addresses that a node may relay to, those of its own availability zone first. */
    public ImmutableList<String> addressesFor(NodeName reader, AvailabilityZone zone, long nowNanos) {
        final List<String> addresses = new ArrayList<>();
        addFrom(zone, reader, NAMED_IN_ZONE, addresses, nowNanos);
        final List<AvailabilityZone> others = nodesByZone.keySet().stream()
                .filter(other -> !other.equals(zone))
                .toList();
        final int all = addresses.size() + NAMED_ELSEWHERE;
        for (int number = 0; number < others.size(); number++) {
            final int left = all - addresses.size();
            final int zonesLeft = others.size() - number;
            addFrom(others.get(number), reader, (left + zonesLeft - 1) / zonesLeft, addresses, nowNanos);
        }
        return ImmutableList.copyOf(addresses);
    }

    /** Starts at a place that depends on the reader, so that readers spread over the nodes. */
    private void addFrom(AvailabilityZone zone, NodeName reader, int count, List<String> addresses, long nowNanos) {
        final List<NodeName> nodes = nodesByZone.getOrDefault(zone, List.of());
        final List<NodeName> expired = new ArrayList<>();
        final int start = nodes.isEmpty() ? 0 : Math.floorMod(reader.hashCode(), nodes.size());
        int added = 0;
        for (int step = 0; step < nodes.size() && added < count; step++) {
            final Relay relay = relays.get(nodes.get((start + step) % nodes.size()));
            if (nowNanos - relay.pulledNanos() > expiryNanos) {
                expired.add(relay.node());
            } else if (!relay.node().equals(reader)) {
                addresses.add(relay.address());
                added++;
            }
        }
        expired.forEach(this::remove);
    }
}

package org.wigeongrade.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;

/**
 * Settings of one process of a fleet whose nodes find each other through seed addresses.
 *
 * <p>Invariant: an entry node has {@code callerListen} and {@code readinessListen}, a control node has {@code
 * controlListen} and {@code dataFolder}. The internal ports are the same on every VM of the fleet. Immutable; safe for
 * use from any thread.
 *
 * @param ip the address at which other nodes reach the VM, which also identifies it among the control VMs
 * @param bindIp the address that the internal ports are bound to; differs from {@code ip} behind a port forwarder
 * @param endpointGatewayIp the address through which an entry node reaches every endpoint, at the endpoint's port; absent
 *     if it reaches their own addresses
 * @param firstInternalPort the first of four ports: the replicated log, calls between nodes, metrics unless they have a
 *     port of their own, and requests that entry nodes relay
 * @param metricsPort the port that serves the metrics of this process
 * @param seeds addresses of some control VMs, for finding the others; they may be out of date
 * @param bootstrap whether the fleet starts for the first time, with empty disks
 */
public record FleetSettings(
        NodeName name,
        FleetRole role,
        AvailabilityZone availabilityZone,
        String ip,
        String bindIp,
        Optional<String> endpointGatewayIp,
        Optional<NodeAddress> callerListen,
        Optional<NodeAddress> readinessListen,
        Optional<NodeAddress> controlListen,
        int firstInternalPort,
        int metricsPort,
        List<NodeAddress> seeds,
        boolean bootstrap,
        Optional<Path> dataFolder,
        Map<FleetKey, Double> numbers) {
    public FleetSettings {
        seeds = ImmutableList.copyOf(seeds);
        numbers = ImmutableMap.copyOf(numbers);
    }

    /** Returns the value of a numeric key, in the unit that its name ends with. */
    public double number(FleetKey key) {
        return numbers.getOrDefault(key, key.defaultValue());
    }

    /** Returns the value of a key whose unit is milliseconds or seconds, converted to milliseconds. */
    public long ms(FleetKey key) {
        final double factor = key.key().endsWith("_s") ? 1_000 : 1;
        return Math.round(number(key) * factor);
    }

    /** Returns the port of the replicated log. */
    public int logPort() {
        return firstInternalPort;
    }

    /** Returns the port for calls between nodes. */
    public int fleetPort() {
        return firstInternalPort + 1;
    }

    /** Returns the port on which an entry VM takes requests that other entry VMs relay. */
    public int relayPort() {
        return firstInternalPort + 3;
    }

    /** Returns the port on which every control VM serves endpoints and operators. */
    public int controlPort() {
        return controlListen.map(NodeAddress::port).orElseGet(() -> seeds.get(0).port());
    }
}

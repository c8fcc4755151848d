package org.wigeongrade.fleet;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.PeerDirectory;

/**
 * The control VMs that a node knows, named by their IP addresses; all of them use the same ports.
 *
 * <p>Invariant: starts with the seeds and only grows. Thread safe.
 */
public final class ControlDirectory implements PeerDirectory {
    private final int logPort;
    private final int fleetPort;
    private final int controlPort;
    private final Set<String> controlVmIps = new LinkedHashSet<>();

    public ControlDirectory(int logPort, int fleetPort, int controlPort, Collection<String> seeds) {
        this.logPort = logPort;
        this.fleetPort = fleetPort;
        this.controlPort = controlPort;
        this.controlVmIps.addAll(seeds);
    }

    /** Adds control VMs by their IP addresses; returns those that were new. */
    public synchronized ImmutableSet<String> addControlVms(Collection<String> ips) {
        final ImmutableSet.Builder<String> added = ImmutableSet.builder();
        ips.stream()
                .filter(InetAddresses::isInetAddress)
                .filter(controlVmIps::add)
                .forEach(added::add);
        return added.build();
    }

    /** Returns the IP addresses of all known control VMs. */
    public synchronized ImmutableSet<String> controlVmIps() {
        return ImmutableSet.copyOf(controlVmIps);
    }

    @Override
    public Optional<InetSocketAddress> addressOf(NodeName peer) {
        return InetAddresses.isInetAddress(peer.value())
                ? Optional.of(address(peer.value(), logPort))
                : Optional.empty();
    }

    /** Returns the address at which a control VM accepts calls from other nodes. */
    public InetSocketAddress fleetAddress(String ip) {
        return address(ip, fleetPort);
    }

    /** Returns the address at which a control VM serves endpoints and operators. */
    public InetSocketAddress controlAddress(String ip) {
        return address(ip, controlPort);
    }

    private static InetSocketAddress address(String ip, int port) {
        return new InetSocketAddress(InetAddresses.forString(ip), port);
    }
}

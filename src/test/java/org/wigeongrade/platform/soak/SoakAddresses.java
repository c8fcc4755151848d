package org.wigeongrade.platform.soak;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.stream.IntStream;
import org.wigeongrade.proof.LoopbackPorts;

/**
 * Loopback addresses of one soak test. Each control VM binds one address; the other processes use a second one, where a
 * proxy forwards to it. Immutable; safe for use from any thread.
 */
record SoakAddresses(int firstPort, int controls, int entries) {
    /** The address at which control nodes reach the endpoints. */
    static final String CONTROL_GATEWAY_IP = "127.79.2.1";

    private static final int PORTS = 6;

    static SoakAddresses free(int controls, int entries) {
        return new SoakAddresses(LoopbackPorts.allocateRange(PORTS), controls, entries);
    }

    List<Integer> proxiedPorts() {
        return List.of(firstPort, firstPort + 1, controlPort());
    }

    /** Returns the ports at which other nodes, but no endpoints, call a control VM. */
    List<Integer> peerPorts() {
        return List.of(firstPort, firstPort + 1);
    }

    int controlPort() {
        return firstPort + 3;
    }

    int callerPort() {
        return firstPort + 4;
    }

    int readinessPort() {
        return firstPort + 5;
    }

    String proxyControlIp(int index) {
        return "127.78.1." + (index + 1);
    }

    String boundControlIp(int index) {
        return "127.77.1." + (index + 1);
    }

    String entryIp(int index) {
        return "127.77.2." + (index + 1);
    }

    /** Returns the address at which an entry node reaches the endpoints. */
    String gatewayIp(int entry) {
        return "127.79.1." + (entry + 1);
    }

    /** Returns the proxied addresses at which endpoints and operators reach the control VMs. */
    List<InetSocketAddress> controlAddresses() {
        return IntStream.range(0, controls)
                .mapToObj(index -> address(proxyControlIp(index), controlPort()))
                .toList();
    }

    static InetSocketAddress address(String ip, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByName(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }
}

package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.proof.FaultInjectionProxy;

/**
 * Proxies between each entry node and every endpoint, and between all control nodes and each endpoint, so that either
 * kind of node alone can lose its links. Thread safe.
 */
final class EndpointProxies implements AutoCloseable {
    private static final String ENDPOINT_IP = "127.0.0.1";

    private final SoakAddresses addresses;
    private final List<List<FaultInjectionProxy>> byEntry = new ArrayList<>();
    private final Map<Integer, FaultInjectionProxy> controlByPort = new HashMap<>();

    EndpointProxies(SoakAddresses addresses) {
        this.addresses = addresses;
        for (int entry = 0; entry < addresses.entries(); entry++) {
            byEntry.add(new ArrayList<>());
        }
    }

    /** Returns the address at which control nodes reach the endpoint at this port. */
    static String controlAddress(int port) {
        return SoakAddresses.CONTROL_GATEWAY_IP + ":" + port;
    }

    /** Lets every control and entry node reach an endpoint at this port. */
    synchronized void add(int port) {
        controlByPort.put(port, proxy(SoakAddresses.CONTROL_GATEWAY_IP, port));
        for (int entry = 0; entry < addresses.entries(); entry++) {
            byEntry.get(entry).add(proxy(addresses.gatewayIp(entry), port));
        }
    }

    private static FaultInjectionProxy proxy(String ip, int port) {
        try {
            return new FaultInjectionProxy(SoakAddresses.address(ip, port), SoakAddresses.address(ENDPOINT_IP, port));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sets how the connections of all control nodes to the endpoint at this port are treated. */
    synchronized void setControlMode(int port, FaultInjectionProxy.Mode mode) {
        controlByPort.get(port).setMode(mode);
    }

    /** Sets how the connections of an entry node to every endpoint are treated. */
    synchronized void setMode(int entry, FaultInjectionProxy.Mode mode) {
        byEntry.get(entry).forEach(proxy -> proxy.setMode(mode));
    }

    @Override
    public synchronized void close() {
        byEntry.forEach(proxies -> proxies.forEach(EndpointProxies::close));
        controlByPort.values().forEach(EndpointProxies::close);
    }

    private static void close(FaultInjectionProxy proxy) {
        try {
            proxy.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

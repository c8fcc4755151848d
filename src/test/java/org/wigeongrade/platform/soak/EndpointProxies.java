package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.wigeongrade.proof.FaultInjectionProxy;

/** Proxies between each entry node and every endpoint, so that one entry node alone can lose its links. Thread safe. */
final class EndpointProxies implements AutoCloseable {
    private static final String ENDPOINT_IP = "127.0.0.1";

    private final SoakAddresses addresses;
    private final List<List<FaultInjectionProxy>> byEntry = new ArrayList<>();

    EndpointProxies(SoakAddresses addresses) {
        this.addresses = addresses;
        for (int entry = 0; entry < addresses.entries(); entry++) {
            byEntry.add(new ArrayList<>());
        }
    }

    /** Lets every entry node reach an endpoint at this port. */
    synchronized void add(int port) {
        for (int entry = 0; entry < addresses.entries(); entry++) {
            try {
                byEntry.get(entry)
                        .add(new FaultInjectionProxy(
                                SoakAddresses.address(addresses.gatewayIp(entry), port),
                                SoakAddresses.address(ENDPOINT_IP, port)));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Sets how the connections of an entry node to every endpoint are treated. */
    synchronized void setMode(int entry, FaultInjectionProxy.Mode mode) {
        byEntry.get(entry).forEach(proxy -> proxy.setMode(mode));
    }

    @Override
    public synchronized void close() {
        byEntry.forEach(proxies -> proxies.forEach(proxy -> {
            try {
                proxy.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }));
    }
}

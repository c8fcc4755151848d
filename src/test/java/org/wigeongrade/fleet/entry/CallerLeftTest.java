package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.fleet.net.ClientClosings;
import org.wigeongrade.fleet.net.ClientMemory;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.RequestIntake;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Pattern: an overloaded entry node reads a request only after its caller gave up and closed the connection. */
final class CallerLeftTest {
    private static final int MAX_BYTES = 64 * 1024;
    private static final long TIMEOUT_MS = 5_000;
    private static final long LOOP_BUSY_MS = 300;
    private static final int WAIT_FOR_SEND_MS = 400;

    private final SharedEventLoop loop = new SharedEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    @ParameterizedTest
    @CsvSource({
        // whether the caller leaves before the node reads, whether an endpoint gets the request
        "true, false",
        "false, true",
    })
    void requestOfACallerThatLeftIsNotSentOn(boolean leaves, boolean sent) throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            final InetSocketAddress address = openListener(endpoint.getLocalPort());
            final Socket caller = new Socket(address.getAddress(), address.getPort());
            loop.eventLoop().submit(() -> {}).get();
            loop.eventLoop().execute(() -> Uninterruptibles.sleepUninterruptibly(LOOP_BUSY_MS, TimeUnit.MILLISECONDS));
            caller.getOutputStream()
                    .write("GET /a HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: a1\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            if (leaves) {
                caller.close();
            }

            assertThat(isConnected(endpoint)).isEqualTo(sent);
            caller.close();
        }
    }

    private static boolean isConnected(ServerSocket endpoint) throws IOException {
        endpoint.setSoTimeout((int) LOOP_BUSY_MS + WAIT_FOR_SEND_MS);
        try {
            endpoint.accept().close();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    private InetSocketAddress openListener(int endpointPort) throws Exception {
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 1_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(), Map.of(), EntryFixture.endpoint("vm-1", endpointPort, 4)),
                System.nanoTime());
        final EntryServices services = EntryFixture.services(loop, registry);
        final CallerConnections connections = new CallerConnections();
        final InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        HttpListener.open(loop, address, MAX_BYTES, pipeline -> {
            final RequestIntake intake = new RequestIntake(
                    new ClientMemory(MAX_BYTES, Integer.MAX_VALUE, System::nanoTime),
                    () -> TIMEOUT_MS,
                    TIMEOUT_MS,
                    new ClientClosings(new Metrics(), new EventLog()));
            intake.addTo(pipeline);
            pipeline.addLast(new HttpObjectAggregator(MAX_BYTES))
                    .addLast(new CallerConnection(services, connections, intake, false));
        });
        return address;
    }
}

package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.io.ByteStreams;
import com.sun.net.httpserver.HttpExchange;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.LoopbackPorts;
import org.wigeongrade.proof.ManagedProcess;

/**
 * Requests that arrived late in the planned stop of an entry node were sent to endpoints and were cut without a response
 * at the end of its grace period, among them ones that must not run twice.
 */
@Tag("process")
final class StoppingEntryVmProcessTest {
    private static final int ENDPOINTS = 2;
    private static final int CALLERS = 40;
    private static final int TIMEOUT_MS = 15_000;
    private static final int PAUSE_MS = 30;
    /** A request that is cut later than this after it was sent had been read. */
    private static final long CROSSING_MS = 200;

    private static final long STEADY_MS = 1_000;
    private static final int BUSY = 503;
    private static final String HOST = "desk.example";
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    @TempDir
    private Path folder;

    private final Set<String> sentToEndpoints = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Integer> statuses = new ConcurrentLinkedQueue<>();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private volatile long stopNanos = Long.MAX_VALUE;

    /** {@code maxWorkMs}: longest time that an endpoint works on a request. */
    @ParameterizedTest
    @CsvSource({
        "idempotent, 400",
        "non_idempotent, 400",
        "idempotent, 6000",
        "non_idempotent, 6000",
    })
    void everyRequestThatWasReadGetsAResponse(String kind, int maxWorkMs) throws Exception {
        final List<CrashableEndpoint> endpoints = new ArrayList<>();
        try (FleetProcesses fleet = new FleetProcesses(folder, 1, 0)) {
            fleet.publish(configuration(kind));
            final ManagedProcess entry = fleet.startEntry();
            for (int number = 0; number < ENDPOINTS; number++) {
                endpoints.add(new CrashableEndpoint(
                        "i-" + number, LoopbackPorts.allocate(), exchange -> false, this::work, () -> {}));
            }
            final var unused = scheduler.scheduleAtFixedRate(
                    () -> sendHeartbeats(fleet, endpoints), 0, 300, TimeUnit.MILLISECONDS);
            Await.until("requests are served", TIMEOUT_MS, () -> isServed(fleet));
            final List<Thread> callers = startCallers(fleet, maxWorkMs);
            Await.sleepMs(STEADY_MS);
            stopNanos = System.nanoTime();
            entry.terminate();
            assertThat(entry.awaitEnd(FleetProcesses.GRACE_S * 1_000L)).isTrue();
            for (final Thread caller : callers) {
                caller.join();
            }
            assertWithMessage("statuses %s", Set.copyOf(statuses)).that(faults).isEmpty();
            assertThat(statuses).contains(200);
        } finally {
            scheduler.shutdownNow();
            endpoints.forEach(CrashableEndpoint::close);
        }
    }

    private static String configuration(String kind) {
        return """
                {"version":7,"routes":[{"name":"r","hostname":"%s","pathPrefix":"/","kind":"%s","timeoutMs":9000,
                "maxAttempts":2,"service":"app","anonymous":true}],"services":[{"name":"app","maxConnections":400}]}""".formatted(HOST, kind);
    }

    private static void sendHeartbeats(FleetProcesses fleet, List<CrashableEndpoint> endpoints) {
        for (final CrashableEndpoint endpoint : endpoints) {
            final var unused =
                    fleet.firstAcknowledging("/-/instances/" + endpoint.vm() + "/heartbeat", endpoint.heartbeat());
        }
    }

    /** Works on a request for the time that its path states. */
    private void work(HttpExchange exchange) {
        sentToEndpoints.add(exchange.getRequestHeaders().getFirst("X-Attempt-Id"));
        final String path = exchange.getRequestURI().getPath();
        Await.sleepMs(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
    }

    private boolean isServed(FleetProcesses fleet) {
        try (Socket socket = connect(fleet)) {
            return call(socket, "probe-" + System.nanoTime(), 0) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private List<Thread> startCallers(FleetProcesses fleet, int maxWorkMs) {
        final List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            final int caller = number;
            final int workMs = maxWorkMs * (number + 1) / CALLERS;
            final Thread thread = new Thread(() -> runCaller(fleet, caller, workMs), "caller-" + number);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        return callers;
    }

    /** Sends requests on one connection after the other, each for as long as it is open, until no more can be opened. */
    private void runCaller(FleetProcesses fleet, int caller, int workMs) {
        for (int request = 0; ; ) {
            try (Socket socket = connect(fleet)) {
                while (tryCall(socket, "c" + caller + "-" + request++, workMs)) {
                    Await.sleepMs(PAUSE_MS);
                }
            } catch (IOException noLongerListening) {
                return;
            }
        }
    }

    /** Returns whether the connection may still be open; notes a fault if a request was read and got no response. */
    private boolean tryCall(Socket socket, String attempt, int workMs) {
        final long sentNanos = System.nanoTime();
        try {
            final int status = call(socket, attempt, workMs);
            statuses.add(status);
            if (status == BUSY && sentToEndpoints.contains(attempt)) {
                faults.add(attempt + " was refused as not run, but was sent to an endpoint");
            }
            return true;
        } catch (IOException e) {
            final long waitedMs = (System.nanoTime() - sentNanos) / 1_000_000;
            if (sentToEndpoints.contains(attempt) || waitedMs > CROSSING_MS) {
                faults.add(attempt + ", sent " + (sentNanos - stopNanos) / 1_000_000
                        + " ms after SIGTERM, was cut after " + waitedMs + " ms: " + e);
            }
            return false;
        }
    }

    private static Socket connect(FleetProcesses fleet) throws IOException {
        final Socket socket = new Socket(
                fleet.entryAddress().getAddress(), fleet.entryAddress().getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    /** Sends a request and returns the status of its complete response. */
    private static int call(Socket socket, String attempt, int workMs) throws IOException {
        final String head = "POST /" + attempt + "/" + workMs + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: "
                + attempt + "\r\nX-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        final DataInputStream input = new DataInputStream(socket.getInputStream());
        final StringBuilder response = new StringBuilder();
        while (response.indexOf("\r\n\r\n") < 0) {
            response.append((char) input.readUnsignedByte());
        }
        final Matcher length = CONTENT_LENGTH.matcher(response);
        if (length.find()) {
            ByteStreams.skipFully(input, Long.parseLong(length.group(1)));
        }
        return Integer.parseInt(response.substring(9, 12));
    }
}

package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.responses.ScriptedEndpoint;

/** Callers of a node with fixed peers, whose only endpoint sends bytes that are no response. */
@Tag("process")
final class BrokenAnswersProcessTest {
    private static final long SERVE_WITHIN_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int CALL_TIMEOUT_MS = 15_000;
    private static final long ANNOUNCE_PERIOD_MS = 300;
    private static final String PATH = "/services/notes/a";
    private static final Map<String, String> AUTHORIZATION =
            Map.of("Authorization", "Bearer " + DeclaredSetToml.API_KEY);
    /** More than an endpoint's socket holds that is not read. */
    private static final String BODY = "n".repeat(1_000_000);

    @TempDir
    Path folder;

    /** Callers got a part of a response as a complete one, or a body that is not the endpoint's. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // the caller's version | what each response consists of | what follows it
                "HTTP/1.1 | HTTP/1.1 200 OK\\r\\n\\r\\npart | RESET_DURING_UPLOAD",
                "HTTP/1.0 | HTTP/1.1 200 OK\\r\\n\\r\\npart | RESET_DURING_UPLOAD",
                "HTTP/1.1 | HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\npart | CLOSED",
                "HTTP/1.0 | HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\npart | CLOSED",
                "HTTP/1.1 | HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nparts | STAYS_OPEN",
                "HTTP/1.1 | HTTP/1.1 000 Trouble\\r\\nContent-Length: 4\\r\\n\\r\\npart | STAYS_OPEN",
                "HTTP/1.1 | HTTP/1.1 200 OK\\r\\nContent-Length was: 4\\r\\nContent-Length: 9\\r\\n\\r\\nwhole one | STAYS_OPEN",
                "HTTP/1.0 | HTTP/1.1 200 OK\\r\\nX\\1Pad: a\\r\\nContent-Length: 4\\r\\n\\r\\npart | STAYS_OPEN",
            })
    void callerGetsNoCompleteResponse(String version, String response, ScriptedEndpoint.End end) throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 1, 0);
                ScriptedEndpoint endpoint = new ScriptedEndpoint(response.translateEscapes(), end)) {
            final String entry = fleet.entryAddresses().get(0);
            final ScheduledExecutorService announcer = Executors.newSingleThreadScheduledExecutor();
            final var unusedTask = announcer.scheduleAtFixedRate(
                    () -> announce(entry, endpoint.port()), 0, ANNOUNCE_PERIOD_MS, TimeUnit.MILLISECONDS);
            try {
                final long unused =
                        fleet.apply(DeclaredSetToml.base() + DeclaredSetToml.service("notes"), 0, "change-1");
                final long startedNanos = System.nanoTime();
                Optional<String> received = call(entry, version);
                // Until the entry VM knows the service and its endpoint, it refuses the call.
                while (endpoint.requests() == 0 && System.nanoTime() - startedNanos < SERVE_WITHIN_NANOS) {
                    Await.sleepMs(ANNOUNCE_PERIOD_MS);
                    received = call(entry, version);
                }

                assertWithMessage("requests that reached the endpoint, last response %s", received)
                        .that(endpoint.requests())
                        .isEqualTo(1);
                // A connection that is closed within a response shows the caller that it is not complete.
                received.ifPresent(status -> assertThat(status).isEqualTo("502"));
            } finally {
                announcer.shutdownNow();
            }
        }
    }

    /** Returns the status of a call that is not idempotent; empty if its response was not complete. */
    private static Optional<String> call(String entry, String version) {
        try {
            return Optional.of(
                    version.equals("HTTP/1.0")
                            ? callUntilClose(HostAndPort.fromString(entry))
                            : String.valueOf(Http.send("POST", entry, PATH, BODY, AUTHORIZATION, CALL_TIMEOUT_MS)
                                    .statusCode()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Sends a call whose response ends with its connection. */
    private static String callUntilClose(HostAndPort entry) throws IOException {
        try (Socket caller = new Socket(entry.getHost(), entry.getPort())) {
            caller.setSoTimeout(CALL_TIMEOUT_MS);
            final String head = "POST " + PATH + " HTTP/1.0\r\nAuthorization: " + AUTHORIZATION.get("Authorization")
                    + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
            caller.getOutputStream().write((head + BODY).getBytes(StandardCharsets.US_ASCII));
            final byte[] received = caller.getInputStream().readAllBytes();
            return new String(received, StandardCharsets.US_ASCII).split(" ", 3)[1];
        }
    }

    private static void announce(String entry, int port) {
        final Map<String, Object> fields = Announcements.fields(port, "service", "warm");
        fields.put("service", "notes");
        Announcements.send(entry, fields);
    }
}

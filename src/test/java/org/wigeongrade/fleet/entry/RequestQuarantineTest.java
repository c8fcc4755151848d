package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.outcomes.PartQuarantine;
import org.wigeongrade.decisions.outcomes.QuarantinedRequest;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests what an entry node does with requests that the leader's quarantine names. */
final class RequestQuarantineTest {
    private static final PromptPartId PART = PromptPartId.of("part");
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n"
            + "Keep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nran";
    private static final long TIMEOUT_S = 10;
    private static final long NEXT_VIEW_MS = 300;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
    private final AtomicInteger arrivals = new AtomicInteger();
    private final CallerRequest request = EntryFixture.request(ImmutableSet.of(PART));
    private volatile boolean endpointCrashes;
    private ServerSocket endpoint;
    private EntryServices services;

    @BeforeEach
    void start() throws Exception {
        endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        final Thread responding = new Thread(this::respond, "endpoint");
        responding.setDaemon(true);
        responding.start();
        services = loop.eventLoop()
                .submit(() -> EntryFixture.services(loop, registry))
                .get();
    }

    @AfterEach
    void close() throws IOException {
        endpoint.close();
        loop.close();
    }

    /** review/15 (BUDGET): once the time of its quarantine had passed, each node sent a crashing request, and its retry. */
    @ParameterizedTest
    @CsvSource({
        // ms until a trial, granted now, granted with the next view, endpoint crashes; arrivals, caller gets
        "60000, false, false, false, 0, status=503",
        "60000, true, true, false, 1, status 200",
        "-1, false, false, false, 0, status=503",
        "-1, false, true, false, 1, status 200",
        "-1, true, true, false, 1, status 200",
        "-1, true, true, true, 1, status=502",
        "-1, false, true, true, 1, status=502",
    })
    void quarantinedRequestIsSentOnceForAGrantOnly(
            long untilMs, boolean granted, boolean grantedNext, boolean crashes, int expectedArrivals, String expected)
            throws Exception {
        endpointCrashes = crashes;
        show(quarantine(untilMs, granted), List.of());
        showNext(view(quarantine(untilMs, grantedNext), List.of()));

        assertThat(send()).contains(expected);
        assertThat(arrivals.get()).isEqualTo(expectedArrivals);
        assertThat(completedTrials())
                .isEqualTo(expectedArrivals == 1 && !crashes ? ImmutableSet.of(digest()) : ImmutableSet.of());
        if (expectedArrivals == 1) {
            assertThat(send()).doesNotContain("status 200");
            assertThat(arrivals.get()).isEqualTo(1);
        }
        assertThat(refused()).containsExactly(digest());
    }

    /** Guards against a trial whose outcome tells nothing of the request, as a part of its prompt is quarantined too. */
    @Test
    void requestWithAQuarantinedPartIsNotTriedForItself() throws Exception {
        show(quarantine(-1, true), List.of(new PartQuarantine(PART, System.nanoTime(), 0, true)));

        assertThat(send()).contains("status=503");
        assertThat(arrivals.get()).isEqualTo(0);
    }

    /** Guards against a request that was released while it waited for a trial, and is refused all the same. */
    @Test
    void releasedRequestIsSent() throws Exception {
        show(quarantine(-1, false), List.of());
        showNext(view(List.of(), List.of()));

        assertThat(send()).isEqualTo("status 200");
        assertThat(completedTrials()).isEmpty();
    }

    private List<QuarantinedRequest> quarantine(long untilMs, boolean onTrial) {
        return List.of(new QuarantinedRequest(
                digest(), System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(untilMs), 0, onTrial));
    }

    private String digest() {
        return new RequestQuarantine(services, request).digest(Optional.empty());
    }

    private EntryView view(List<QuarantinedRequest> requests, List<PartQuarantine> parts) {
        return EntryFixture.view(
                requests,
                parts,
                EntryFixture.endpoint("vm-1", endpoint.getLocalPort(), 4),
                EntryFixture.endpoint("vm-2", endpoint.getLocalPort(), 4));
    }

    private void show(List<QuarantinedRequest> requests, List<PartQuarantine> parts) throws Exception {
        loop.eventLoop()
                .submit(() -> registry.apply(view(requests, parts), System.nanoTime()))
                .get();
    }

    private void showNext(EntryView next) {
        NettyFutures.logFailure(loop.eventLoop()
                .schedule(() -> registry.apply(next, System.nanoTime()), NEXT_VIEW_MS, TimeUnit.MILLISECONDS));
    }

    private ImmutableSet<String> completedTrials() throws Exception {
        return loop.eventLoop()
                .submit(() -> registry.quarantinedRequests().completedTrials())
                .get();
    }

    private ImmutableSet<String> refused() throws Exception {
        return loop.eventLoop()
                .submit(() -> registry.quarantinedRequests().drainRefused())
                .get();
    }

    private String send() throws Exception {
        final RecordingWriter writer = new RecordingWriter();
        final CountDownLatch ended = new CountDownLatch(1);
        loop.eventLoop()
                .submit(() -> new Exchange(services, request, writer, ended::countDown).start())
                .get();
        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        return String.join(" ", writer.written());
    }

    private void respond() {
        while (!endpoint.isClosed()) {
            try (Socket connection = endpoint.accept()) {
                final byte[] received = new byte[4_096];
                if (connection.getInputStream().read(received) > 0) {
                    arrivals.incrementAndGet();
                    if (!endpointCrashes) {
                        connection.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.UTF_8));
                    }
                }
            } catch (IOException e) {
                // The test has ended.
                assertThat(endpoint.isClosed()).isTrue();
            }
        }
    }
}

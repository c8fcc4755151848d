package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests what the caller gets of a request whose endpoint is silent for a time and then goes on. */
final class SilentEndpointStreamTest {
    private static final String HEAD = String.join(
            "\r\n",
            "HTTP/1.1 200 OK",
            "X-Attempt-Id: attempt",
            "X-Server-Seal: s",
            "Content-Type: text/event-stream",
            "",
            "");
    private static final String COMPLETE = "stream event event event end";
    /** Longer than the silence after which a stream looks for another endpoint, and than all tries there. */
    private static final long SILENCE_MS = 1_500;

    private static final long TIMEOUT_S = 10;
    /** Of the route of {@link EntryFixture}. */
    private static final int MAX_ATTEMPTS = 2;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final RecordingWriter writer = new RecordingWriter();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicInteger requests = new AtomicInteger();
    private final List<ServerSocket> endpoints = new ArrayList<>();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());

    /** What the other endpoint does with the stream. */
    private enum Other {
        REFUSES {
            @Override
            void answer(Socket connection) throws IOException {
                write(
                        connection,
                        "HTTP/1.1 503 Unavailable\r\nX-Attempt-Id: attempt\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            }
        },
        REFUSES_CONNECTIONS {
            @Override
            void answer(Socket connection) {
                throw new IllegalStateException("nothing listens here");
            }
        },
        CLOSES_CONNECTION {
            @Override
            void answer(Socket connection) {
                // The connection is closed without a byte.
            }
        },
        FAILS {
            @Override
            void answer(Socket connection) throws IOException {
                write(
                        connection,
                        "HTTP/1.1 500 Error\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n");
            }
        },
        ANSWERS_OTHERWISE {
            @Override
            void answer(Socket connection) throws IOException {
                write(
                        connection,
                        "HTTP/1.1 404 Not Found\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n");
            }
        },
        IS_SILENT_TOO {
            @Override
            void answer(Socket connection) throws IOException {
                sleep(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            }
        },
        SENDS_A_COMMENT {
            @Override
            void answer(Socket connection) throws IOException {
                write(connection, HEAD.replace("event-stream", "event-stream; charset=x") + ": wait\n\n");
                sleep(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            }
        },
        CONTINUES {
            @Override
            void answer(Socket connection) throws IOException {
                write(connection, HEAD + "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            }
        },
        CONTINUES_LATE {
            @Override
            void answer(Socket connection) throws IOException {
                write(connection, HEAD);
                sleep(2 * SILENCE_MS);
                write(connection, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            }
        };

        abstract void answer(Socket connection) throws IOException;
    }

    @AfterEach
    void close() throws IOException {
        for (final ServerSocket endpoint : endpoints) {
            endpoint.close();
        }
        loop.close();
    }

    /** A stream was cut with seconds left, because the endpoint that it left for a silent one could not take it. */
    @ParameterizedTest
    @EnumSource(value = Other.class, mode = EnumSource.Mode.EXCLUDE, names = "SENDS_A_COMMENT")
    void streamGoesOnWhateverTheOtherEndpointDoes(Other other) throws Exception {
        final RoutableRecord silent = endpoint("silent", SilentEndpointStreamTest::answerWithSilence);
        final RoutableRecord second = endpoint("other", other::answer);
        if (other == Other.REFUSES_CONNECTIONS) {
            endpoints.get(1).close();
        }
        show(silent);
        startStream();
        awaitRequests(1);
        show(silent, second);

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo(COMPLETE);
    }

    /** A request was failed with seconds left, because it had left a silent endpoint for one that could not take it. */
    @ParameterizedTest
    @CsvSource({
        // kind of the route, what the other endpoint does, what the caller gets
        "STREAMING, REFUSES, stream event event event end",
        "STREAMING, REFUSES_CONNECTIONS, stream event event event end",
        "STREAMING, CLOSES_CONNECTION, stream event event event end",
        "STREAMING, FAILS, stream event event event end",
        "STREAMING, IS_SILENT_TOO, stream event event event end",
        "STREAMING, SENDS_A_COMMENT, stream event event event end",
        "STREAMING, ANSWERS_OTHERWISE, status 404",
        "STREAMING, CONTINUES, stream event event end",
        "IDEMPOTENT, REFUSES, status 200",
        "IDEMPOTENT, REFUSES_CONNECTIONS, status 200",
        "IDEMPOTENT, CLOSES_CONNECTION, status 200",
        "IDEMPOTENT, FAILS, status 200",
        "IDEMPOTENT, IS_SILENT_TOO, status 200",
        "IDEMPOTENT, ANSWERS_OTHERWISE, status 404",
    })
    void requestThatHasNotBegunIsAnsweredWhateverTheOtherEndpointDoes(RouteKind kind, Other other, String expected)
            throws Exception {
        final String events = kind.streams() ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" : "whole";
        final RoutableRecord silent = endpoint("silent", connection -> {
            sleep(SILENCE_MS);
            write(connection, HEAD + events);
        });
        final RoutableRecord second = endpoint("other", other::answer);
        if (other == Other.REFUSES_CONNECTIONS) {
            endpoints.get(1).close();
        }
        show(kind, silent);
        startStream();
        awaitRequests(1);
        show(kind, silent, second);

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo(expected);
    }

    /** A stream that fell silent again and again ran on one more replica each time, beyond the maximum of its route. */
    @ParameterizedTest
    @CsvSource({
        // silences of the stream's endpoint, and what the other endpoints do with the stream until they are dropped
        "1, IS_SILENT_TOO",
        "2, IS_SILENT_TOO",
        "3, IS_SILENT_TOO",
        "2, CONTINUES_LATE",
    })
    void silencesInSeriesKeepToTheMaximumOfReplicas(int silences, Other other) throws Exception {
        final RoutableRecord silent = endpoint("silent", connection -> {
            write(connection, HEAD + "id: 1\ndata: a\n\n");
            for (int event = 2; event <= silences + 1; event++) {
                sleep(SILENCE_MS);
                write(connection, "id: " + event + "\ndata: b\n\n");
            }
        });
        final RoutableRecord[] all = {
            silent,
            endpoint("other-1", other::answer),
            endpoint("other-2", other::answer),
            endpoint("other-3", other::answer)
        };
        show(silent);
        startStream();
        awaitRequests(1);
        show(all);

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo("stream" + " event".repeat(silences + 1) + " end");
        assertThat(requests.get()).isEqualTo(MAX_ATTEMPTS);
    }

    /** A replica that refused the stream, or refused its connection, has not run it and must not use up an attempt. */
    @ParameterizedTest
    @EnumSource(
            value = Other.class,
            names = {"REFUSES", "REFUSES_CONNECTIONS"})
    void replicaThatDidNotRunTheStreamIsNotCounted(Other other) throws Exception {
        final RoutableRecord broken =
                endpoint("broken", connection -> write(connection, HEAD + "id: 1\ndata: a\n\nid: 2"));
        final RoutableRecord refusing = endpoint("other", other::answer);
        if (other == Other.REFUSES_CONNECTIONS) {
            endpoints.get(1).close();
        }
        final RoutableRecord next = endpoint("next", Other.CONTINUES::answer);
        show(broken);
        startStream();
        awaitRequests(1);
        show(refusing);
        sleep(300);
        show(next);

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo(COMPLETE);
    }

    /** A stream whose group had just ended was cut, although the next group could be sent it a moment later. */
    @Test
    void brokenStreamGoesOnAtAnEndpointThatAppearsSoon() throws Exception {
        final RoutableRecord broken =
                endpoint("broken", connection -> write(connection, HEAD + "id: 1\ndata: a\n\nid: 2"));
        final RoutableRecord next = endpoint("next", Other.CONTINUES::answer);
        show(broken);
        startStream();
        awaitRequests(1);
        show();
        sleep(600);
        show(next);

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo(COMPLETE);
    }

    /** A stream that no endpoint can continue is not held until its deadline. */
    @Test
    void brokenStreamEndsSoonIfNoEndpointAppears() throws Exception {
        final RoutableRecord broken =
                endpoint("broken", connection -> write(connection, HEAD + "id: 1\ndata: a\n\nid: 2"));
        show(broken);
        startStream();
        awaitRequests(1);
        show();

        assertThat(ended.await(3, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo("stream event aborted");
    }

    private static void answerWithSilence(Socket connection) throws IOException {
        write(connection, HEAD + "id: 1\ndata: a\n\n");
        sleep(SILENCE_MS);
        write(connection, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    }

    private void startStream() throws Exception {
        loop.eventLoop()
                .submit(() -> new Exchange(
                                EntryFixture.services(loop, registry),
                                EntryFixture.request(ImmutableSet.of()),
                                writer,
                                ended::countDown)
                        .start())
                .get();
    }

    private void show(RoutableRecord... routable) throws Exception {
        show(RouteKind.STREAMING, routable);
    }

    private void show(RouteKind kind, RoutableRecord... routable) throws Exception {
        loop.eventLoop()
                .submit(() -> registry.apply(
                        EntryFixture.view(EntryFixture.configuration(kind, true), Map.of(), routable),
                        System.nanoTime()))
                .get();
    }

    private void awaitRequests(int count) {
        while (requests.get() < count) {
            sleep(5);
        }
    }

    /** What an endpoint does with a connection; it is closed afterwards. */
    @FunctionalInterface
    private interface Behaviour {
        void answer(Socket connection) throws IOException;
    }

    private RoutableRecord endpoint(String name, Behaviour behaviour) throws IOException {
        final ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        endpoints.add(endpoint);
        final Thread accepting = new Thread(() -> answerAll(endpoint, behaviour), name);
        accepting.setDaemon(true);
        accepting.start();
        return EntryFixture.endpoint(name, endpoint.getLocalPort(), 4);
    }

    private void answerAll(ServerSocket endpoint, Behaviour behaviour) {
        while (!endpoint.isClosed()) {
            try (Socket connection = endpoint.accept()) {
                if (connection.getInputStream().read(new byte[4_096]) > 0) {
                    requests.incrementAndGet();
                    behaviour.answer(connection);
                }
            } catch (IOException e) {
                // The test has ended, or the node has closed this connection.
            }
        }
    }

    private static void write(Socket connection, String text) throws IOException {
        final OutputStream output = connection.getOutputStream();
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private static void sleep(long forMs) {
        com.google.common.util.concurrent.Uninterruptibles.sleepUninterruptibly(forMs, TimeUnit.MILLISECONDS);
    }
}

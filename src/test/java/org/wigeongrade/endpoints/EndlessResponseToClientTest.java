package org.wigeongrade.endpoints;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.EndlessEndpoint;

/** Responses without end to requests of the node with fixed peers. */
final class EndlessResponseToClientTest {
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
    private static final long CLOSE_WITHIN_MS = 10_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** A head that is too long, and an interim response, were passed on as the complete answer of the endpoint. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // what the response begins with | what follows without end | how the request ends
                "HTTP/1.1 200 | a | CONNECTION_LOST",
                "HTTP/1.1 200 OK\\r\\nX-Pad: | a | CONNECTION_LOST",
                "HTTP/1.1 200 OK\\r\\n | X-Pad: a\\r\\n | CONNECTION_LOST",
                "'' | HTTP/1.1 100 Continue\\r\\n\\r\\n | CONNECTION_LOST",
                "'' | HTTP/1.1 103 Early Hints\\r\\n\\r\\n | CONNECTION_LOST",
                "'' | \\r\\n | CONNECTION_LOST",
                "'' | \\0 | CONNECTION_LOST",
                "'' | a | CONNECTION_LOST",
            })
    void headWithoutEndIsAFailure(String begin, String repeated, SendFailure expected) throws Exception {
        try (EndlessEndpoint endpoint = new EndlessEndpoint(
                begin.translateEscapes() + (begin.endsWith("200") ? " " : ""), repeated.translateEscapes())) {
            final CompletableFuture<String> outcome = new CompletableFuture<>();
            final SendHandle unused = client().send(request(endpoint), new RecordingListener(outcome));

            assertThat(outcome.get(CLOSE_WITHIN_MS, TimeUnit.MILLISECONDS)).isEqualTo(expected.toString());
            assertCloses(endpoint);
        }
    }

    /** A body of which nothing more is asked for was read on. */
    @Test
    void bodyIsNotReadAheadOfItsReader() throws Exception {
        try (EndlessEndpoint endpoint = new EndlessEndpoint("HTTP/1.1 200 OK\r\n\r\n", "a")) {
            final CompletableFuture<String> outcome = new CompletableFuture<>();
            final SendHandle unused = client().send(request(endpoint), new RecordingListener(outcome));

            assertThat(outcome.get(CLOSE_WITHIN_MS, TimeUnit.MILLISECONDS)).isEqualTo("TIMED_OUT");
            assertCloses(endpoint);
        }
    }

    private static void assertCloses(EndlessEndpoint endpoint) {
        Await.until("the connection is closed", CLOSE_WITHIN_MS, () -> endpoint.closedByCaller() == 1);
        // The network takes a few MB that nobody reads.
        assertWithMessage("bytes sent").that(endpoint.sentBytes()).isLessThan(2L * MAX_RESPONSE_BYTES);
    }

    private static EndpointClient client() {
        return new EndpointClient(Optional.empty(), System::nanoTime, fault -> {});
    }

    private static EndpointRequest request(EndlessEndpoint endpoint) {
        return new EndpointRequest(
                new AttemptId("attempt.1"),
                "127.0.0.1:" + endpoint.port(),
                "GET",
                "/",
                ImmutableMap.of(),
                new byte[0],
                0,
                System.nanoTime() + TIMEOUT.toNanos(),
                TIMEOUT,
                TIMEOUT);
    }

    /** Completes with how the response ended; asks for no more than the first bytes of its body. */
    private record RecordingListener(CompletableFuture<String> outcome) implements ResponseListener {
        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {}

        @Override
        public void onEnd() {
            outcome.complete("complete");
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            outcome.complete(failure.toString());
        }
    }
}

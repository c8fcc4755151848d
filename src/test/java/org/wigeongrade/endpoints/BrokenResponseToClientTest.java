package org.wigeongrade.endpoints;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.responses.BrokenResponses;
import org.wigeongrade.responses.ScriptedEndpoint;
import org.wigeongrade.responses.SoundResponses;

/** Bytes that are no response, sent to the node with fixed peers. */
final class BrokenResponseToClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long END_WITHIN_MS = 10_000;
    /** More than the buffers of both sides' sockets hold. */
    private static final int LARGE_BYTES = 16_000_000;

    /** A line was taken under another name, or a part of the body for the whole of it. */
    @ParameterizedTest
    @MethodSource("org.wigeongrade.responses.BrokenResponses#withBothEnds")
    void brokenResponseIsALostConnection(BrokenResponses broken, ScriptedEndpoint.End end) throws Exception {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(broken.bytes(), end)) {
            assertThat(send(endpoint, 0)).endsWith("CONNECTION_LOST");
        }
    }

    /** The part of a response that had arrived before the reset was complete. */
    @Test
    void partOfAResponseThatIsResetDuringTheUploadIsNotComplete() throws Exception {
        try (ScriptedEndpoint endpoint =
                new ScriptedEndpoint("HTTP/1.1 200 OK\r\n\r\npart", ScriptedEndpoint.End.RESET_DURING_UPLOAD)) {
            assertThat(send(endpoint, LARGE_BYTES)).endsWith("CONNECTION_LOST");
        }
    }

    /** Guards against a check of responses that fails those which endpoints may send. */
    @ParameterizedTest
    @EnumSource(SoundResponses.class)
    void soundResponseIsComplete(SoundResponses sound) throws Exception {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(sound.bytes(), ScriptedEndpoint.End.CLOSED)) {
            assertThat(send(endpoint, 0)).isEqualTo(sound.status() + " " + sound.body() + " complete");
        }
    }

    /** Returns status and body as far as they were reported, and how the response ended. */
    private String send(ScriptedEndpoint endpoint, int bodyBytes) throws Exception {
        final EndpointClient client = new EndpointClient(Optional.empty(), System::nanoTime, fault -> {});
        final Recorder recorder = new Recorder();
        final EndpointRequest request = new EndpointRequest(
                new AttemptId("attempt.1"),
                "127.0.0.1:" + endpoint.port(),
                "POST",
                "/",
                ImmutableMap.of(),
                new byte[bodyBytes],
                0,
                System.nanoTime() + TIMEOUT.toNanos(),
                TIMEOUT,
                TIMEOUT);
        final SendHandle unused = client.send(request, recorder);
        return recorder.outcome.get(END_WITHIN_MS, TimeUnit.MILLISECONDS);
    }

    /** Records what is reported of one response; called by one event loop. */
    private static final class Recorder implements ResponseListener {
        private final StringBuilder reported = new StringBuilder();
        private final CompletableFuture<String> outcome = new CompletableFuture<>();

        @Override
        public void onHead(ResponseHead head) {
            reported.append(head.status()).append(' ');
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            reported.append(new String(bytes, StandardCharsets.ISO_8859_1));
            readMore.run();
        }

        @Override
        public void onEnd() {
            outcome.complete(reported + " complete");
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            outcome.complete(reported + " " + failure);
        }
    }
}

package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams of endpoints that do not end: what is held of them is limited. */
final class EndlessStreamTest {
    private static final int MAX_EVENT_BYTES = 1_000;
    /** More than every limit. */
    private static final int ENDLESS = 200_000;

    private final StreamAssembler assembler = new StreamAssembler("req-1");

    private static String chunk(String content, String finishReason) {
        return "{\"id\":\"up-1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content
                + "\"},\"finish_reason\":" + finishReason + "}]}";
    }

    /** Events after the finish reason were held until the endpoint closed, and memory ran out. */
    @ParameterizedTest
    @ValueSource(strings = {"null", "\"stop\""})
    void endlessEventsAfterTheFinishReasonFail(String finishReason) {
        final int attempt = assembler.beginAttempt();
        assertThat(assembler.accept(attempt, chunk("", "\"stop\""))).isInstanceOf(StreamAction.Nothing.class);
        long acceptedChars = 0;
        StreamAction action = new StreamAction.Nothing();
        for (int i = 0; i < ENDLESS && action instanceof StreamAction.Nothing; i++) {
            final String event = chunk("", finishReason);
            acceptedChars += event.length();
            action = assembler.accept(attempt, event);
        }

        assertThat(action).isInstanceOf(StreamAction.Fail.class);
        assertThat(((StreamAction.Fail) action).event()).isEqualTo(AttemptEvent.ANSWER_MISMATCHED);
        assertThat(acceptedChars).isLessThan(2L * StreamAssembler.MAX_HELD_CHARS);
        assertThat(assembler.isComplete()).isFalse();
    }

    /** The text of a stream without end was kept for a continuation, and memory ran out. */
    @Test
    void textThatIsTooLongToBeKeptIsForwardedButNotResumable() {
        final int attempt = assembler.beginAttempt();
        final String piece = "a".repeat(MAX_EVENT_BYTES);
        for (int i = 0; i <= StreamAssembler.MAX_TEXT_CHARS / MAX_EVENT_BYTES; i++) {
            assertThat(assembler.isResumable()).isTrue();
            assertThat(assembler.accept(attempt, chunk(piece, "null"))).isInstanceOf(StreamAction.Forward.class);
        }

        assertThat(assembler.isResumable()).isFalse();
        assertThat(assembler.text()).isEmpty();
        assertThat(assembler.accept(attempt, chunk(piece, "null"))).isInstanceOf(StreamAction.Forward.class);
        assertThat(assembler.text()).isEmpty();
        assertThat(assembler.isResumable()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"data: a", "data: a\n", ": a\n", "a", "\r"})
    void endlessEventFails(String repeated) {
        final EventStreamDecoder decoder = new EventStreamDecoder(MAX_EVENT_BYTES);
        final byte[] bytes = repeated.repeat(2 * MAX_EVENT_BYTES).getBytes(StandardCharsets.UTF_8);

        assertThrows(IllegalArgumentException.class, () -> decoder.accept(bytes));
    }
}

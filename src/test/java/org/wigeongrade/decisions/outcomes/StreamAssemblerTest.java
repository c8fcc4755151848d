package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A caller's streamed response over attempts that break off, deliver late events or are resumed. */
final class StreamAssemblerTest {
    private final StreamAssembler assembler = new StreamAssembler("req-1");

    private static String chunk(String id, String content) {
        return "{\"id\":\"" + id + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content
                + "\"},\"finish_reason\":null}]}";
    }

    private static String finish(String id) {
        return "{\"id\":\"" + id + "\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}";
    }

    @Test
    void completeStreamIsForwardedUnderTheCallersId() {
        int attempt = assembler.beginAttempt();
        StreamAction first = assembler.accept(attempt, chunk("up-1", "ab"));
        assertThat(((StreamAction.Forward) first).data()).contains("\"id\":\"req-1\"");
        assertThat(assembler.accept(attempt, finish("up-1"))).isInstanceOf(StreamAction.Nothing.class);
        assertThat(assembler.accept(attempt, StreamAssembler.DONE_MARKER)).isInstanceOf(StreamAction.Finish.class);
        assertThat(assembler.isComplete()).isTrue();
        assertThat(assembler.text()).isEqualTo("ab");
    }

    @ParameterizedTest
    @ValueSource(strings = {"[DONE]", "{\"error\":{\"message\":\"out of memory\"}}", "{\"id\":", "[]"})
    void malformedOrErrorEventCutsTheAttemptShort(String data) {
        int attempt = assembler.beginAttempt();
        assembler.accept(attempt, chunk("up-1", "ab"));
        StreamAction.Fail fail = (StreamAction.Fail) assembler.accept(attempt, data);
        assertThat(fail.event()).isEqualTo(AttemptEvent.CUT_SHORT);
        assertThat(assembler.accept(attempt, chunk("up-1", "late"))).isInstanceOf(StreamAction.Nothing.class);
        assertThat(assembler.text()).isEqualTo("ab");
    }

    @Test
    void streamWithEventsOfTwoResponsesIsMismatched() {
        int attempt = assembler.beginAttempt();
        assembler.accept(attempt, chunk("up-1", "ab"));
        StreamAction.Fail fail = (StreamAction.Fail) assembler.accept(attempt, chunk("up-2", "xy"));
        assertThat(fail.event()).isEqualTo(AttemptEvent.ANSWER_MISMATCHED);
        assertThat(assembler.text()).isEqualTo("ab");
    }

    @Test
    void endBeforeTheDoneMarkerIsCutShortEvenAfterTheFinishReason() {
        int attempt = assembler.beginAttempt();
        assembler.accept(attempt, chunk("up-1", "ab"));
        assembler.accept(attempt, finish("up-1"));
        assertThat(assembler.ended(attempt).orElseThrow().event()).isEqualTo(AttemptEvent.CUT_SHORT);
        assertThat(assembler.isResumable()).isTrue();
    }

    @Test
    void severalChoicesAreNotResumable() {
        int attempt = assembler.beginAttempt();
        assembler.accept(attempt, "{\"choices\":[{\"index\":1,\"delta\":{\"content\":\"x\"}}]}");
        assertThat(assembler.isResumable()).isFalse();
    }

    /**
     * Breaks off streams at random places with 500 seeds; the caller must always receive the whole text exactly once.
     */
    @Test
    void resumedStreamsLoseAndRepeatNothing() {
        String fullText = "the quick brown fox jumps over the lazy dog";
        for (int seed = 0; seed < 500; seed++) {
            assertThat(run(fullText, new Random(seed))).isEqualTo(fullText);
        }
    }

    private static String run(String fullText, Random random) {
        StreamAssembler assembler = new StreamAssembler("req");
        StringBuilder received = new StringBuilder();
        int previous = 0;
        while (!assembler.isComplete()) {
            int attempt = assembler.beginAttempt();
            List<String> events = engineEvents(fullText, assembler.text(), "up-" + attempt, random);
            int cut = random.nextInt(4) == 0 ? events.size() : random.nextInt(events.size() + 1);
            for (String event : events.subList(0, cut)) {
                appendContent(assembler.accept(attempt, event), received);
                appendContent(assembler.accept(previous, chunk("late", "LATE")), received);
            }
            assembler.ended(attempt);
            previous = attempt;
        }
        return received.toString();
    }

    private static List<String> engineEvents(String fullText, String continueFrom, String id, Random random) {
        List<String> events = new ArrayList<>();
        events.add("{\"id\":\"" + id
                + "\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}");
        int at = continueFrom.length();
        while (at < fullText.length()) {
            int end = Math.min(fullText.length(), at + 1 + random.nextInt(5));
            events.add(chunk(id, fullText.substring(at, end)));
            at = end;
        }
        events.add(finish(id));
        events.add(StreamAssembler.DONE_MARKER);
        return events;
    }

    private static void appendContent(StreamAction action, StringBuilder received) {
        if (action instanceof StreamAction.Forward forward) {
            int begin = forward.data().indexOf("\"content\":\"");
            if (begin >= 0) {
                int from = begin + "\"content\":\"".length();
                received.append(forward.data(), from, forward.data().indexOf('"', from));
            }
        }
    }
}

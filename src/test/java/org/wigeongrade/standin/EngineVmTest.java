package org.wigeongrade.standin;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class EngineVmTest {
    private final ManualTimer timer = new ManualTimer();
    private final Journal journal = Journal.inMemory();

    @ParameterizedTest(name = "fencing checked {0}, order {1}.{2} after 2.5: accepted {3}")
    @CsvSource({
        "true,  1, 9, false",
        "true,  2, 4, false",
        "true,  2, 5, true",
        "true,  2, 6, true",
        "true,  3, 1, true",
        "false, 1, 9, true",
    })
    void refusesStaleOrdersOnlyIfItChecksFencingTokens(
            boolean fencingChecked, long term, long sequence, boolean accepted) {
        EngineVm engine = engine(fencingChecked, 2);
        assertThat(engine.handleOrder(join("vm-1", 2, 5))).isTrue();

        assertThat(engine.handleOrder(join("vm-1", term, sequence))).isEqualTo(accepted);
    }

    @Test
    void refusesBeforeItsModelIsLoaded() {
        EngineVm engine = engine(true, 2);
        assertThat(engine.handleOrder(join("vm-1", 1, 1))).isTrue();

        assertThat(engine.admit("a", prompt("x", 3), 0)).isEqualTo(new Admission.Refused(503, "not_serving"));
        timer.advanceMs(500);
        assertThat(engine.admit("a", prompt("x", 3), 0)).isInstanceOf(Admission.Admitted.class);
    }

    @Test
    void refusesRequestsUnlessItIsTheFirstMember() {
        EngineVm engine = engine(true, 2);
        assertThat(engine.handleOrder(join("vm-0", 1, 1))).isTrue();
        timer.advanceMs(500);

        assertThat(engine.admit("a", prompt("x", 3), 0)).isEqualTo(new Admission.Refused(503, "not_first_member"));
    }

    @Test
    void turnsWarmAfterItsColdRequests() {
        EngineVm engine = coldEngine(2);

        for (int i = 0; i < 4; i++) {
            assertThat(engine.announcement().orElseThrow().state()).isEqualTo("cold");
            run(engine, prompt("x" + i, 2));
        }

        assertThat(engine.announcement().orElseThrow().state()).isEqualTo("warm");
    }

    @ParameterizedTest(name = "{0} concurrent requests with cold capacity 2: fails {1}")
    @CsvSource({"1, false", "2, false", "3, true"})
    void failsAboveItsColdCapacity(int requests, boolean fails) {
        EngineVm engine = coldEngine(2);
        List<Admission> admissions = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            admissions.add(engine.admit("a" + i, prompt("x" + i, 2), 0));
        }

        assertThat(admissions.contains(new Admission.Down())).isEqualTo(fails);
        assertThat(journal.toJsonLines().contains("fell_over")).isEqualTo(fails);
        assertThat(engine.announcement().isEmpty()).isEqualTo(fails);
    }

    @Test
    void restartsWithALargerIncarnation() {
        EngineVm engine = coldEngine(2);
        long before = engine.announcement().orElseThrow().incarnation();
        Admission.Admitted admitted = (Admission.Admitted) engine.admit("a", prompt("crash-engine", 2), 0);
        CollectingListener listener = new CollectingListener();
        admitted.generation().start(listener);
        timer.advanceMs(50);
        assertThat(engine.announcement()).isEmpty();
        assertThat(listener.outcome).isEqualTo(JournalEvent.CUT_SHORT);

        timer.advanceMs(1_000);

        assertThat(engine.announcement().orElseThrow().incarnation()).isGreaterThan(before);
        assertThat(engine.announcement().orElseThrow().state()).isEqualTo("idle");
    }

    @ParameterizedTest(name = "continues after {0} characters")
    @CsvSource({"0", "7", "10", "28"})
    void continuesExactlyAfterTheTextAlreadySent(int sentChars) {
        EngineVm engine = coldEngine(2);
        String fullResponse = prompt("x", 4).fullResponse();

        CollectingListener listener = run(engine, prompt("x", 4, fullResponse.substring(0, sentChars)));

        assertThat(fullResponse.substring(0, sentChars) + listener.text).isEqualTo(fullResponse);
    }

    @Test
    void refusesToContinueTheTextOfAnotherResponse() {
        EngineVm engine = coldEngine(2);

        assertThat(engine.admit("a", prompt("x", 4, "another"), 0))
                .isEqualTo(new Admission.Refused(503, "unknown_prefix"));
    }

    @Test
    void cutsResponsesShortIfTheFaultIsSet() {
        EngineVm engine = coldEngine(2);
        engine.apply(new Faults(0, 0, 1, 0, 0, false, false, false));

        assertThat(run(engine, prompt("x", 4)).outcome).isEqualTo(JournalEvent.CUT_SHORT);
    }

    private EngineVm coldEngine(int coldCapacity) {
        EngineVm engine = engine(true, coldCapacity);
        assertThat(engine.handleOrder(join("vm-1", 1, 1))).isTrue();
        timer.advanceMs(500);
        return engine;
    }

    private EngineVm engine(boolean fencingChecked, int coldCapacity) {
        EngineSettings settings = new EngineSettings(
                "vm-1",
                "127.0.0.1:1",
                "zone-a",
                "domain-a",
                8,
                fencingChecked,
                500,
                8,
                coldCapacity,
                4,
                0,
                1_000,
                1,
                5,
                0,
                64,
                1);
        return new EngineVm(settings, timer, journal);
    }

    private static EngineOrder join(String first, long term, long sequence) {
        return new EngineOrder("join", "pool/1", List.of(first, "vm-1"), "v1", "w", term, sequence);
    }

    private CollectingListener run(EngineVm engine, Prompt prompt) {
        CollectingListener listener = new CollectingListener();
        ((Admission.Admitted) engine.admit("a", prompt, 0)).generation().start(listener);
        timer.advanceMs(200);
        return listener;
    }

    private static Prompt prompt(String text, int tokens) {
        return prompt(text, tokens, "");
    }

    private static Prompt prompt(String text, int tokens, String continueFrom) {
        ObjectNode body = StandinJson.MAPPER.createObjectNode();
        body.put("model", "m").put("prompt", text).put("max_tokens", tokens).put("continue_from", continueFrom);
        return Prompt.of(body).orElseThrow();
    }

    private static final class CollectingListener implements Generation.Listener {
        private String text = "";
        private JournalEvent outcome;

        @Override
        public void onToken(String token) {
            text += token;
        }

        @Override
        public void onEnd(JournalEvent newOutcome) {
            outcome = newOutcome;
        }
    }
}

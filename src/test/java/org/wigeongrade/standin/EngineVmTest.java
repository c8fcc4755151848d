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

    @ParameterizedTest(name = "fencing checked {0}, order {1}.{2} after 2.5: followed {3}")
    @CsvSource({
        "true,  1, 9, false",
        "true,  2, 4, false",
        "true,  2, 5, true",
        "true,  2, 6, true",
        "true,  3, 1, true",
        "false, 1, 9, true",
    })
    void refusesOldOrdersOnlyWhenItChecksThem(boolean checked, long term, long sequence, boolean followed) {
        EngineVm engine = engine(checked, 2);
        assertThat(engine.follow(join("vm-1", 2, 5))).isTrue();

        assertThat(engine.follow(join("vm-1", term, sequence))).isEqualTo(followed);
    }

    @Test
    void refusesBeforeItsModelIsLoaded() {
        EngineVm engine = engine(true, 2);
        assertThat(engine.follow(join("vm-1", 1, 1))).isTrue();

        assertThat(engine.admit("a", prompt("x", 3), 0)).isEqualTo(new Admission.Refused(503, "not_serving"));
        timer.advanceMs(500);
        assertThat(engine.admit("a", prompt("x", 3), 0)).isInstanceOf(Admission.Taken.class);
    }

    @Test
    void refusesRequestsUnlessItIsTheFirstMember() {
        EngineVm engine = engine(true, 2);
        assertThat(engine.follow(join("vm-0", 1, 1))).isTrue();
        timer.advanceMs(500);

        assertThat(engine.admit("a", prompt("x", 3), 0)).isEqualTo(new Admission.Refused(503, "not_first_member"));
    }

    @Test
    void isWarmAfterItsColdRequests() {
        EngineVm engine = coldEngine(2);

        for (int i = 0; i < 4; i++) {
            assertThat(engine.announcement().orElseThrow().state()).isEqualTo("cold");
            run(engine, prompt("x" + i, 2));
        }

        assertThat(engine.announcement().orElseThrow().state()).isEqualTo("warm");
    }

    @ParameterizedTest(name = "{0} requests at once with cold capacity 2: fails {1}")
    @CsvSource({"1, false", "2, false", "3, true"})
    void failsAboveItsColdCapacity(int requests, boolean fails) {
        EngineVm engine = coldEngine(2);
        List<Admission> admissions = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            admissions.add(engine.admit("a" + i, prompt("x" + i, 2), 0));
        }

        assertThat(admissions.contains(new Admission.Down())).isEqualTo(fails);
        assertThat(journal.text().contains("fell_over")).isEqualTo(fails);
        assertThat(engine.announcement().isEmpty()).isEqualTo(fails);
    }

    @Test
    void comesBackUnderALargerIncarnation() {
        EngineVm engine = coldEngine(2);
        long before = engine.announcement().orElseThrow().incarnation();
        Admission.Taken taken = (Admission.Taken) engine.admit("a", prompt("crash-engine", 2), 0);
        Collector collector = new Collector();
        taken.generation().open(collector);
        timer.advanceMs(50);
        assertThat(engine.announcement()).isEmpty();
        assertThat(collector.outcome).isEqualTo(JournalEvent.CUT_SHORT);

        timer.advanceMs(1_000);

        assertThat(engine.announcement().orElseThrow().incarnation()).isGreaterThan(before);
        assertThat(engine.announcement().orElseThrow().state()).isEqualTo("idle");
    }

    @ParameterizedTest(name = "continues after {0} characters")
    @CsvSource({"0", "7", "10", "28"})
    void continuesExactlyAfterTheTextAlreadySent(int sentChars) {
        EngineVm engine = coldEngine(2);
        String whole = prompt("x", 4).wholeAnswer();

        Collector collector = run(engine, prompt("x", 4, whole.substring(0, sentChars)));

        assertThat(whole.substring(0, sentChars) + collector.text).isEqualTo(whole);
    }

    @Test
    void refusesToContinueAfterTheTextOfAnotherAnswer() {
        EngineVm engine = coldEngine(2);

        assertThat(engine.admit("a", prompt("x", 4, "another"), 0))
                .isEqualTo(new Admission.Refused(503, "unknown_prefix"));
    }

    @Test
    void cutsAnswersShortWhenToldTo() {
        EngineVm engine = coldEngine(2);
        engine.apply(new Faults(0, 0, 1, 0, 0, false, false, false));

        assertThat(run(engine, prompt("x", 4)).outcome).isEqualTo(JournalEvent.CUT_SHORT);
    }

    private EngineVm coldEngine(int coldCapacity) {
        EngineVm engine = engine(true, coldCapacity);
        assertThat(engine.follow(join("vm-1", 1, 1))).isTrue();
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

    private Collector run(EngineVm engine, Prompt prompt) {
        Collector collector = new Collector();
        ((Admission.Taken) engine.admit("a", prompt, 0)).generation().open(collector);
        timer.advanceMs(200);
        return collector;
    }

    private static Prompt prompt(String text, int tokens) {
        return prompt(text, tokens, "");
    }

    private static Prompt prompt(String text, int tokens, String continueFrom) {
        ObjectNode body = StandinJson.MAPPER.createObjectNode();
        body.put("model", "m").put("prompt", text).put("max_tokens", tokens).put("continue_from", continueFrom);
        return Prompt.of(body).orElseThrow();
    }

    private static final class Collector implements Generation.Listener {
        private String text = "";
        private JournalEvent outcome;

        @Override
        public void token(String token) {
            text += token;
        }

        @Override
        public void ended(JournalEvent end) {
            outcome = end;
        }
    }
}

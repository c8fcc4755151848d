package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/** Verifies that each checker reports a violation in a bad history and none in a similar good one. */
final class CheckersTest {
    private final List<JournalEntry> journal = new ArrayList<>();
    private final List<HistoryEvent> history = new ArrayList<>();
    private long callCount;

    @ParameterizedTest(name = "executed {0} times: {1} violations")
    @CsvSource({"0, 0", "1, 0", "2, 1", "3, 1"})
    void findsOperationsExecutedTwice(int executions, int violations) {
        for (int i = 0; i < executions; i++) {
            addServiceEntry(i, JournalEvent.EXECUTED, "op-1");
        }
        addServiceEntry(9, JournalEvent.EXECUTED, "op-2");

        assertThat(ExecutedTwiceChecker.check(journal)).hasSize(violations);
    }

    @ParameterizedTest(name = "reported {0}, executed {1}: {2} violations")
    @CsvSource({"OK, false, 1", "OK, true, 0", "UNKNOWN, false, 0", "FAIL, false, 0"})
    void findsOkWithoutExecution(Phase reported, boolean executed, int violations) {
        addCall("charge", "op-1", reported, 1, 2);
        if (executed) {
            addServiceEntry(1, JournalEvent.EXECUTED, "op-1");
        }

        assertThat(OkWithoutExecutionChecker.check("charge", history, journal)).hasSize(violations);
    }

    @ParameterizedTest(name = "reported {0} then {1}, started {2}: {3} violations")
    @CsvSource({
        "FAIL, FAIL, true, 1",
        "FAIL, FAIL, false, 0",
        "UNKNOWN, FAIL, true, 0",
        "FAIL, OK, true, 0",
    })
    void findsFalseNotRun(Phase first, Phase second, boolean started, int violations) {
        addCall("charge", "op-1", first, 1, 2);
        addCall("charge", "op-1", second, 3, 4);
        if (started) {
            addServiceEntry(1, JournalEvent.STARTED, "op-1");
        }

        assertThat(FalseNotRunChecker.check("charge", history, journal)).hasSize(violations);
    }

    @ParameterizedTest(name = "{1} in flight while {0}, {2} ms after it turned cold: {3} violations")
    @CsvSource({
        "cold, 2, 5000, 0",
        "cold, 3, 5000, 1",
        "cold, 3, 500, 0",
        "warm, 8, 5000, 0",
    })
    void findsColdOverload(String state, int inFlight, long afterMs, int violations) {
        addEngineEntry(0, JournalEvent.STATE, "vm-1", "g/1", "cold", 0, "vm-1");
        addEngineEntry(afterMs, JournalEvent.STARTED, "vm-1", "g/1", state, inFlight, "vm-1");

        assertThat(ColdOverloadChecker.check(journal, 2, 1_000)).hasSize(violations);
    }

    @ParameterizedTest(name = "start {0} ms after the event at {1}: {2} violations")
    @CsvSource({"4900, vm-1, 0", "5100, vm-1, 1", "5100, vm-2, 0", "9100, vm-1, 0"})
    void findsWorkAfterDeadline(long atMs, String vm, int violations) {
        addEngineEntry(atMs, JournalEvent.STARTED, vm, "g/1", "warm", 1, vm);
        WorkAfterDeadlineChecker.ExclusionWindow window = WorkAfterDeadlineChecker.ExclusionWindow.after(
                "zone out", Set.of("vm-1"), nanos(0), 5_000, nanos(9_000));

        assertThat(WorkAfterDeadlineChecker.check(journal, window)).hasSize(violations);
    }

    @ParameterizedTest(name = "start {0} ms after vm-2 died, with member {1}: {2} violations")
    @CsvSource({"4900, vm-2, 0", "5100, vm-2, 1", "5100, vm-3, 0"})
    void findsStartsWithMissingMember(long atMs, String member, int violations) {
        addEngineEntry(atMs, JournalEvent.STARTED, "vm-1", "g/1", "warm", 1, "vm-1", member);

        assertThat(ServedWithMissingMemberChecker.check(journal, "vm-2", nanos(0), 5_000))
                .hasSize(violations);
    }

    @ParameterizedTest(name = "vm-2 accepts the order {0}: {1} violations")
    @CsvSource({"'join g/1', 0", "'join g/2', 1", "'leave g/1', 0"})
    void findsMemberOfAnotherGroup(String order, int violations) {
        journal.add(newEngineEntry(1, JournalEvent.ORDER, "vm-2", null, "idle", 0, order, "vm-2"));
        addEngineEntry(2, JournalEvent.STARTED, "vm-1", "g/1", "warm", 1, "vm-1", "vm-2");

        assertThat(MemberOfAnotherGroupChecker.check(journal)).hasSize(violations);
    }

    @Test
    void acceptsAConfigurationThatOnlyAdvances() {
        addAcceptedChange("change-1", 1, 10);
        addAcceptedChange("change-1", 1, 20);
        addAcceptedChange("change-2", 2, 30);
        addRead("entry-1", "1:a", 40);
        addRead("entry-1", "2:b", 6_000);

        assertThat(ConfigurationChecker.check(history, 5_000)).isEmpty();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "two_changes_in_one_revision, apply, change-2, 1@7, 20",
        "two_changes_on_one_base, apply, change-2, 2@0, 20",
        "change_acknowledged_twice, apply, change-1, 2@0, 20",
        "revision_not_in_force, read, entry-1, 0:z, 5100",
        "two_contents, read, entry-2, 1:other, 5100",
    })
    void findsAConfigurationThatReverts(String rule, String function, String subject, String value, long atMs) {
        addAcceptedChange("change-1", 1, 10);
        addRead("entry-1", "1:a", 40);
        addCall(function, subject, Phase.OK, atMs - 1, atMs, value);

        assertThat(ConfigurationChecker.check(history, 5_000).stream().map(Violation::rule))
                .containsExactly(rule);
    }

    @Test
    void findsIncompleteResponses() {
        addCall("generate", "op-1", Phase.UNKNOWN, 1, 2, "cut_short");
        addCall("generate", "op-2", Phase.UNKNOWN, 1, 2, "answer_cut_short");

        assertThat(WrongAnswerChecker.check(history).stream().map(Violation::subject))
                .containsExactly("op-1");
    }

    private void addAcceptedChange(String change, long revision, long atMs) {
        addCall(ConfigurationChecker.APPLY, change, Phase.OK, atMs - 1, atMs, revision + "@" + (revision - 1));
    }

    private void addRead(String entry, String value, long atMs) {
        addCall(ConfigurationChecker.READ, entry, Phase.OK, atMs - 1, atMs, value);
    }

    private void addCall(String function, String subject, Phase outcome, long beginMs, long endMs) {
        addCall(function, subject, outcome, beginMs, endMs, "");
    }

    private void addCall(String function, String subject, Phase outcome, long beginMs, long endMs, String value) {
        callCount++;
        history.add(new HistoryEvent(nanos(beginMs), 1, callCount, Phase.INVOKE, function, subject, "entry", ""));
        history.add(new HistoryEvent(nanos(endMs), 1, callCount, outcome, function, subject, "entry", value));
    }

    private void addServiceEntry(long atMs, JournalEvent event, String operation) {
        journal.add(new JournalEntry(
                nanos(atMs),
                "svc-1",
                1,
                event,
                "a",
                "d",
                operation,
                operation,
                null,
                List.of(),
                null,
                "warm",
                null,
                null,
                1,
                null));
    }

    private void addEngineEntry(
            long atMs, JournalEvent event, String vm, String group, String state, int inFlight, String... members) {
        journal.add(newEngineEntry(atMs, event, vm, group, state, inFlight, null, members));
    }

    private static JournalEntry newEngineEntry(
            long atMs,
            JournalEvent event,
            String vm,
            String group,
            String state,
            int inFlight,
            String detail,
            String... members) {
        return new JournalEntry(
                nanos(atMs),
                vm,
                1,
                event,
                "a",
                "d",
                "op",
                null,
                group,
                List.of(members),
                "v1",
                state,
                1L,
                1L,
                inFlight,
                detail);
    }

    private static long nanos(long atMs) {
        return TimeUnit.MILLISECONDS.toNanos(atMs + 1_000);
    }
}

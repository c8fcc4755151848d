package org.wigeongrade.logging;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds events and docs/EVENTS.md together, and checks the line form. */
final class LogEventTest {
    private static final Path PAGE = Path.of("docs/EVENTS.md");

    @Test
    void pageListsTheSameEvents() throws IOException {
        final List<String> rows = Files.readAllLines(PAGE).stream()
                .filter(line -> line.matches("\\| \\d{4} \\|.*"))
                .toList();

        assertThat(rows)
                .containsExactlyElementsIn(
                        Arrays.stream(LogEvent.values()).map(LogEventTest::row).toList())
                .inOrder();
    }

    private static String row(LogEvent event) {
        return "| %d | `%s` | %s | %s |"
                .formatted(event.number(), event.code(), event.level().getName(), event.template());
    }

    @Test
    void numbersAreUniqueAndAscending() {
        final List<Integer> numbers =
                Arrays.stream(LogEvent.values()).map(LogEvent::number).toList();

        assertThat(numbers).isInStrictOrder();
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '~',
            value = {
                "plain, peer=plain",
                "two words, peer=\"two words\"",
                "quote\", peer=\"quote\\\"\"",
                "a\u0001b, peer=\"a b\"",
                "a=b, peer=\"a=b\""
            })
    void valueStaysOneField(String value, String expected) {
        assertThat(EventRecord.of(LogEvent.PEER_RECONNECTED, value, 5).toString())
                .isEqualTo(
                        "event=1702 name=peer_reconnected " + expected + " elapsed_ms=5 message=\"connection to node "
                                + value.replace("\"", "\\\"").replace('\u0001', ' ') + " opened again after 5 ms\"");
    }

    @Test
    void lineBreakInValueStartsNoLine() {
        final String line = EventRecord.of(LogEvent.NODE_START_FAILED, "n", "a\nevent=1003 name=node_stopped")
                .toString();

        assertThat(line).doesNotContain("\n");
    }

    @Test
    void missingValueReadsAsDash() {
        assertThat(EventRecord.of(LogEvent.VIEW_CHANGED).toString())
                .isEqualTo("event=1104 name=view_changed revision=- message=\"view of revision - is in force on this"
                        + " node\"");
    }

    @Test
    void floodOfOneEventIsCutAndCounted() {
        final EventBudget budget = new EventBudget();
        final long written = IntStream.range(0, 120)
                .filter(i -> budget.tryPass(i).isPresent())
                .count();

        assertThat(written).isEqualTo(EventBudget.RECORDS_PER_WINDOW);
        assertThat(budget.tryPass(EventBudget.WINDOW_NANOS - 1)).isEmpty();
        assertThat(budget.tryPass(EventBudget.WINDOW_NANOS)).hasValue(71);
        assertThat(budget.tryPass(EventBudget.WINDOW_NANOS + 1)).hasValue(0);
    }

    @Test
    void lineOfStackTraceReadsAsNoRecord() {
        final LogRecord logRecord = new LogRecord(Level.SEVERE, "event=1608 name=request_fault");
        logRecord.setLoggerName(EventLog.LOGGER_NAME);
        logRecord.setThrown(new IllegalStateException("a\ntime=2026 event=1003 name=node_stopped"));

        assertThat(new LineFormatter().format(logRecord)).contains("\n    time=2026 event=1003");
    }

    @Test
    void formatterMarksRecordsOfLibraries() {
        final LogRecord logRecord = new LogRecord(Level.WARNING, "bind failed\nagain");
        logRecord.setLoggerName("io.netty");

        assertThat(new LineFormatter().format(logRecord))
                .endsWith(" level=warning event=0 name=library logger=io.netty message=\"bind failed\\nagain\"\n");
    }
}

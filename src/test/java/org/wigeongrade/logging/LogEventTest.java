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

/** Checks that docs/EVENTS.md lists the same events as the code, and checks the format of log lines. */
final class LogEventTest {
    private static final Path EVENTS_PAGE = Path.of("docs/EVENTS.md");

    @Test
    void docsListTheSameEvents() throws IOException {
        final List<String> rows = Files.readAllLines(EVENTS_PAGE).stream()
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
    void quotesValueAsOneField(String value, String expected) {
        assertThat(EventRecord.of(LogEvent.PEER_RECONNECTED, value, 5).toString())
                .isEqualTo(
                        "event=1702 name=peer_reconnected " + expected + " elapsed_ms=5 message=\"connection to node "
                                + value.replace("\"", "\\\"").replace('\u0001', ' ') + " opened again after 5 ms\"");
    }

    @Test
    void escapesLineBreakInValue() {
        final String line = EventRecord.of(LogEvent.NODE_START_FAILED, "n", "a\nevent=1003 name=node_stopped")
                .toString();

        assertThat(line).doesNotContain("\n");
    }

    @Test
    void writesMissingValueAsDash() {
        assertThat(EventRecord.of(LogEvent.VIEW_CHANGED).toString())
                .isEqualTo("event=1104 name=view_changed revision=- message=\"view of revision - is in force on this"
                        + " node\"");
    }

    @Test
    void limitsRateOfEventAndCountsSuppressedRecords() {
        final EventRateLimiter rateLimiter = new EventRateLimiter();
        final long written = IntStream.range(0, 120)
                .filter(nowNanos -> rateLimiter.tryAcquire(nowNanos).isPresent())
                .count();

        assertThat(written).isEqualTo(EventRateLimiter.RECORDS_PER_WINDOW);
        assertThat(rateLimiter.tryAcquire(EventRateLimiter.WINDOW_NANOS - 1)).isEmpty();
        assertThat(rateLimiter.tryAcquire(EventRateLimiter.WINDOW_NANOS)).hasValue(71);
        assertThat(rateLimiter.tryAcquire(EventRateLimiter.WINDOW_NANOS + 1)).hasValue(0);
    }

    @Test
    void indentsStackTraceLines() {
        final LogRecord logRecord = new LogRecord(Level.SEVERE, "event=1608 name=request_fault");
        logRecord.setLoggerName(EventLog.LOGGER_NAME);
        logRecord.setThrown(new IllegalStateException("a\ntime=2026 event=1003 name=node_stopped"));

        assertThat(new LogfmtFormatter().format(logRecord)).contains("\n    time=2026 event=1003");
    }

    @Test
    void formatsLibraryRecordAsEventZero() {
        final LogRecord logRecord = new LogRecord(Level.WARNING, "bind failed\nagain");
        logRecord.setLoggerName("io.netty");

        assertThat(new LogfmtFormatter().format(logRecord))
                .endsWith(" level=warning event=0 name=library logger=io.netty message=\"bind failed\\nagain\"\n");
    }
}

package org.wigeongrade.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class PossibleRunsTest {
    // A stream that returned to a silent replica did not count the one that it dropped, and ran on a third.
    @ParameterizedTest
    @CsvSource({
        // earlier runs; what happens to the attempts a, b and c; runs; whether another replica may be sent the request
        "0, '', 0, true",
        "0, sent-a, 1, true",
        "0, sent-a sent-b, 2, false",
        "0, sent-a not_run-a, 0, true",
        "0, sent-a sent-b not_run-b, 1, true",
        "0, sent-a not_run-a not_run-a sent-b, 1, true",
        "0, not_run-a sent-b, 1, true",
        "1, sent-a, 2, false",
        "1, sent-a not_run-a, 1, true",
        "2, '', 2, false",
        "0, granted1-a, 1, true",
        "0, granted2-a, 2, false",
        "0, granted2-a used1-a, 1, true",
        "0, granted2-a used0-a, 0, true",
        "0, granted1-a used3-a, 1, true",
        "0, granted2-a not_run-a, 0, true",
        "0, used1-a, 0, true",
    })
    void countsUntilProvedOtherwise(int earlier, String steps, int total, boolean permitsAnother) {
        final PossibleRuns<String> runs = new PossibleRuns<>(earlier);
        for (final String step : Splitter.on(' ').omitEmptyStrings().split(steps)) {
            final List<String> parts = Splitter.on('-').splitToList(step);
            apply(runs, parts.get(0), parts.get(1));
        }

        assertThat(runs.total()).isEqualTo(total);
        assertThat(runs.own()).isEqualTo(total - earlier);
        assertThat(runs.permitsAnother(2)).isEqualTo(permitsAnother);
    }

    @ParameterizedTest
    @CsvSource({"0, 1, 1", "0, 2, 1", "0, 3, 2", "0, 4, 3", "1, 2, 1", "1, 4, 2", "2, 3, 1"})
    void grantLeavesOneRunForAnotherNode(int earlier, int maxRuns, int granted) {
        assertThat(new PossibleRuns<String>(earlier).grant(maxRuns)).isEqualTo(granted);
    }

    private static void apply(PossibleRuns<String> runs, String step, String attempt) {
        final int number = step.charAt(step.length() - 1) - '0';
        switch (step.replaceAll("[0-9]", "")) {
            case "sent" -> runs.recordSent(attempt);
            case "not_run" -> runs.recordNotRun(attempt);
            case "granted" -> runs.recordGranted(attempt, number);
            case "used" -> runs.recordUsed(attempt, number);
            default -> throw new IllegalArgumentException(step);
        }
    }
}

package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.errors.RunStatus;

/** Checks how each way in which an attempt can end is classified. */
final class AttemptOutcomeTest {
    static Stream<Arguments> withoutResponse() {
        return Stream.of(
                Arguments.of(AttemptFacts.connectFailed(), AttemptEvent.CONNECT_FAILED),
                Arguments.of(
                        withoutResponse(false, AttemptFacts.End.CONNECTION_FAILED),
                        AttemptEvent.FAILED_BEFORE_FIRST_BYTE),
                Arguments.of(
                        withoutResponse(false, AttemptFacts.End.DEADLINE_PASSED),
                        AttemptEvent.FAILED_BEFORE_FIRST_BYTE),
                Arguments.of(
                        withoutResponse(true, AttemptFacts.End.CONNECTION_FAILED),
                        AttemptEvent.FAILED_AFTER_FIRST_BYTE),
                Arguments.of(withoutResponse(true, AttemptFacts.End.DEADLINE_PASSED), AttemptEvent.TIMED_OUT),
                Arguments.of(withoutResponse(true, AttemptFacts.End.CALLER_GONE), AttemptEvent.CANCELLED));
    }

    private static AttemptFacts withoutResponse(boolean requestBytesSent, AttemptFacts.End end) {
        return AttemptFacts.withoutResponse(requestBytesSent, end);
    }

    @ParameterizedTest
    @MethodSource("withoutResponse")
    void classifiesAttemptWithoutResponse(AttemptFacts facts, AttemptEvent expected) {
        assertThat(AttemptOutcome.of(facts).event()).isEqualTo(expected);
    }

    @ParameterizedTest(name = "status {0}, not run stated {1}, id matches {2}, {3}: {4}")
    @CsvSource({
        "200, false, true, WHOLE_ANSWER, ANSWERED",
        "500, false, true, WHOLE_ANSWER, ANSWERED",
        "503, false, true, WHOLE_ANSWER, ANSWERED",
        "503, true, true, WHOLE_ANSWER, REFUSED_NOT_RUN",
        "429, true, true, WHOLE_ANSWER, REFUSED_NOT_RUN",
        "200, true, true, WHOLE_ANSWER, ANSWERED",
        "503, true, false, WHOLE_ANSWER, ANSWER_MISMATCHED",
        "200, false, false, CONNECTION_FAILED, ANSWER_MISMATCHED",
        "503, true, true, CONNECTION_FAILED, CUT_SHORT",
        "200, false, true, CONNECTION_FAILED, CUT_SHORT",
        "200, false, true, STALL_DEADLINE_PASSED, STALLED",
        "200, false, true, CALLER_GONE, CANCELLED",
    })
    void classifiesAttemptWithResponse(
            int status, boolean notRun, boolean idMatches, AttemptFacts.End end, AttemptEvent expected) {
        AttemptFacts facts = AttemptFacts.withResponse(status, notRun, idMatches, end);
        assertThat(AttemptOutcome.of(facts).event()).isEqualTo(expected);
    }

    /** What a caller is told agrees with what is known of whether the request ran. */
    @ParameterizedTest
    @EnumSource(AttemptEvent.class)
    void errorKindAgreesWithRunStatus(AttemptEvent event) {
        event.errorKind().ifPresent(kind -> assertThat(kind.runStatus()).isEqualTo(event.runStatus()));
        assertThat(event.errorKind().isEmpty()).isEqualTo(event.runStatus() == RunStatus.COMPLETED);
    }
}

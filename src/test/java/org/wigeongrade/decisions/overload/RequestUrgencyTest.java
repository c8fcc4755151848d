package org.wigeongrade.decisions.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RequestRank;

final class RequestUrgencyTest {
    @ParameterizedTest
    @CsvSource({
        // position, count, whether it is a retry, urgency
        "0, 3, false, 3",
        "1, 3, false, 5",
        "2, 3, false, 7",
        "2, 3, true, 6",
        "0, 2, true, 2",
        "1, 2, false, 7",
        "5, 12, false, 5",
    })
    void higherRanksAndRetriesGoFirst(int position, int count, boolean isRetry, int urgency) {
        assertThat(RequestUrgency.of(Optional.of(new RequestRank(position, count)), isRetry))
                .isEqualTo(OptionalInt.of(urgency));
    }

    @Test
    void withoutRanksTheDefaultOfTheEndpointApplies() {
        assertThat(RequestUrgency.of(Optional.empty(), true)).isEqualTo(OptionalInt.empty());
    }
}

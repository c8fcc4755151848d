package org.wigeongrade.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that a misspelled name finds its nearest known name, and that other names find none. */
final class NearestNameTest {
    private static final Set<String> KNOWN = Set.of("listen", "peer_listen", "name", "no");

    @ParameterizedTest
    @CsvSource({"lisen, listen", "peer_lisen, peer_listen", "nmae, name", "xyz, ", "completely_other, "})
    void findsNearestName(String name, String expected) {
        assertThat(NearestName.find(name, KNOWN)).isEqualTo(Optional.ofNullable(expected));
    }
}

package org.wigeongrade.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Names that are near and names that are not. */
final class NearestNameTest {
    private static final Set<String> KNOWN = Set.of("listen", "peer_listen", "name", "no");

    @ParameterizedTest
    @CsvSource({"lisen, listen", "peer_lisen, peer_listen", "nmae, name", "xyz, ", "completely_other, "})
    void nearestIsFound(String name, String expected) {
        assertThat(NearestName.find(name, KNOWN)).isEqualTo(Optional.ofNullable(expected));
    }
}

package org.wigeongrade.decisions.placement;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.decisions.control.GroupRefusal;
import org.wigeongrade.decisions.membership.NotServingReason;

final class ReasonCodesTest {
    static Stream<String> codes() {
        return Stream.of(
                        Arrays.stream(PlacementReason.values()).map(PlacementReason::code),
                        Arrays.stream(GroupRefusal.values()).map(GroupRefusal::code),
                        Arrays.stream(NotServingReason.values()).map(NotServingReason::code))
                .flatMap(codes -> codes);
    }

    @ParameterizedTest
    @MethodSource("codes")
    void codeHasASectionInTheDocs(String code) throws IOException {
        assertThat(Files.readAllLines(Path.of("docs/RULES.md"))).contains("### " + code);
    }
}

package org.wigeongrade.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.wigeongrade.decisions.limits.AdmissionReason;
import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.decisions.outcomes.SendRefusal;

/** Checks that the page of rules has exactly one section for each reason code. */
final class RulesPageTest {
    private static final Path PAGE = Path.of("docs", "RULES-routing.md");

    @Test
    void sectionsAreTheReasonCodes() throws IOException {
        List<String> codes = Stream.of(
                        Stream.of(RouteReason.values()).map(RouteReason::code),
                        Stream.of(ChoiceReason.values()).map(ChoiceReason::code),
                        Stream.of(RetryRefusal.values()).map(RetryRefusal::code),
                        Stream.of(AdmissionReason.values()).map(AdmissionReason::code),
                        Stream.of(SendRefusal.values()).map(SendRefusal::code),
                        Stream.of(AttemptEvent.values()).map(AttemptEvent::code))
                .flatMap(codesOfOne -> codesOfOne)
                .collect(Collectors.toList());
        List<String> sections = Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("### "))
                .map(line -> line.substring("### ".length()))
                .collect(Collectors.toList());
        assertThat(sections).containsExactlyElementsIn(codes);
    }
}

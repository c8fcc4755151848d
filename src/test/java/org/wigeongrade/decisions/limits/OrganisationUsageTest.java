package org.wigeongrade.decisions.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.OrganisationName;

/** The fair share of an organisation is enforced only while slots are nearly used up. */
final class OrganisationUsageTest {
    private static final OrganisationName LARGE = OrganisationName.of("large");
    private static final OrganisationName SMALL = OrganisationName.of("small");
    private static final long ACTIVE = 100;

    @ParameterizedTest(
            name = "{0} of {1} slots in use, {2} by the large organisation, last request of the small one at {3}: {4}")
    @CsvSource({
        "8, 10, 8, 0, ",
        "9, 10, 4, 0, ",
        "9, 10, 5, 0, FAIR_PART_EXCEEDED",
        "9, 10, 9, 0, FAIR_PART_EXCEEDED",
        "9, 10, 9, -200, ",
        "0, 0, 1, 0, FAIR_PART_EXCEEDED",
    })
    void limitsLargeOrganisationUnderCongestion(
            int inUse, int slots, int inUseByLarge, long smallRequestedAt, AdmissionReason expected) {
        OrganisationUsage usage = new OrganisationUsage(ACTIVE);
        usage.refusal("model", SMALL, 0, 10, smallRequestedAt);
        for (int i = 0; i < inUseByLarge; i++) {
            usage.begin("model", LARGE);
        }
        assertThat(usage.refusal("model", LARGE, inUse, slots, 1)).isEqualTo(Optional.ofNullable(expected));
        assertThat(usage.refusal("another model", LARGE, 9, 10, 1)).isEqualTo(Optional.empty());
    }
}

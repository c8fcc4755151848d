package org.wigeongrade.decisions.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.OrganisationName;

/** The equal part of an organisation binds only while slots are nearly used up. */
final class OrganisationUseTest {
    private static final OrganisationName LARGE = OrganisationName.of("large");
    private static final OrganisationName SMALL = OrganisationName.of("small");
    private static final long ACTIVE = 100;

    @ParameterizedTest(name = "{0} of {1} slots in use, {2} by the large organisation, small one asked at {3}: {4}")
    @CsvSource({
        "8, 10, 8, 0, ",
        "9, 10, 4, 0, ",
        "9, 10, 5, 0, FAIR_PART_EXCEEDED",
        "9, 10, 9, 0, FAIR_PART_EXCEEDED",
        "9, 10, 9, -200, ",
        "0, 0, 1, 0, FAIR_PART_EXCEEDED",
    })
    void largeOrganisation(int inUse, int slots, int ofLarge, long smallAsked, AdmissionReason expected) {
        OrganisationUse use = new OrganisationUse(ACTIVE);
        use.refusal("model", SMALL, 0, 10, smallAsked);
        for (int i = 0; i < ofLarge; i++) {
            use.begin("model", LARGE);
        }
        assertThat(use.refusal("model", LARGE, inUse, slots, 1)).isEqualTo(Optional.ofNullable(expected));
        assertThat(use.refusal("another model", LARGE, 9, 10, 1)).isEqualTo(Optional.empty());
    }
}

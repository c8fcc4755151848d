package org.wigeongrade.decisions.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.OrganisationName;

/** Each limit refuses with its own reason, and a refused request takes nothing. */
final class OrganisationAdmissionTest {
    private static final OrganisationName ORGANISATION = OrganisationName.of("lone-star");
    private static final long DEADLINE = 100_000_000_000L;

    private final HeldShares shares = new HeldShares();
    private final OrganisationAdmission admission = new OrganisationAdmission(shares);

    private void grant(ShareKey key, int slots) {
        ShareReport report = shares.report(key, 0);
        shares.applyGrant(new ShareGrant(key, report.sequence(), slots, 0, 0, DEADLINE), DEADLINE);
    }

    @ParameterizedTest(name = "in flight {0}, rate {1}, tokens {2}: second request {3}")
    @CsvSource({
        "1, 9, 900, IN_FLIGHT_EXCEEDED",
        "9, 1, 900, REQUEST_RATE_EXCEEDED",
        "9, 9, 60, TOKEN_RATE_EXCEEDED",
        "9, 9, 9000, ",
        "9, 9, 0, ",
    })
    void refusesWithTheReasonOfTheLimit(int inFlight, int rate, int tokens, AdmissionReason expected) {
        grant(ShareKey.inFlight(ORGANISATION), inFlight);
        grant(ShareKey.requestRate(ORGANISATION), rate);
        grant(ShareKey.tokensPerMinute(ORGANISATION), tokens);
        AdmissionRequest request = new AdmissionRequest(ORGANISATION, inFlight, rate, tokens, 50);
        assertThat(admission.admit(request, 0)).isInstanceOf(AdmissionDecision.Admitted.class);
        AdmissionDecision second = admission.admit(request, 600_000_000L);
        if (expected == null) {
            assertThat(second).isInstanceOf(AdmissionDecision.Admitted.class);
            return;
        }
        assertThat(((AdmissionDecision.Refused) second).reason()).isEqualTo(expected);
        assertThat(shares.inUse(ShareKey.inFlight(ORGANISATION))).isEqualTo(1);
    }
}

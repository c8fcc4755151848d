package org.wigeongrade.decisions.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.OrganisationName;

/** What an entry VM may use of its shares: deadlines, lowered grants, outdated grants, cold signs, rates. */
final class HeldSharesTest {
    private static final ShareKey KEY = ShareKey.endpointSlots(EndpointId.of("e1"));
    private static final long DEADLINE = 1_000;

    private final HeldShares shares = new HeldShares();

    private void grant(int slots, int coldSlots, long epoch) {
        ShareReport report = shares.report(KEY, 0);
        shares.applyGrant(new ShareGrant(KEY, report.sequence(), slots, coldSlots, epoch, DEADLINE), DEADLINE);
    }

    @Test
    void givesNothingWithoutAGrantOrPastItsDeadline() {
        assertThat(shares.tryAcquire(KEY, 0)).isEmpty();
        grant(1, 0, 0);
        assertThat(shares.tryAcquire(KEY, DEADLINE)).isEmpty();
        assertThat(shares.tryAcquire(KEY, DEADLINE - 1)).isPresent();
        assertThat(shares.tryAcquire(KEY, DEADLINE - 1)).isEmpty();
    }

    @Test
    void slotsBeyondALoweredGrantCountUntilReleased() {
        grant(2, 0, 0);
        Slot first = shares.tryAcquire(KEY, 1).orElseThrow();
        assertThat(shares.tryAcquire(KEY, 1)).isPresent();
        grant(1, 0, 0);
        assertThat(shares.report(KEY, 1).inUse()).isEqualTo(2);
        assertThat(shares.release(first)).isTrue();
        assertThat(shares.release(first)).isFalse();
        assertThat(shares.tryAcquire(KEY, 1)).isEmpty();
    }

    @Test
    void ignoresAGrantThatAnswersAnOlderReport() {
        ShareReport older = shares.report(KEY, 0);
        shares.report(KEY, 0);
        assertThat(shares.applyGrant(new ShareGrant(KEY, older.sequence(), 5, 0, 0, DEADLINE), DEADLINE))
                .isFalse();
        assertThat(shares.tryAcquire(KEY, 1)).isEmpty();
    }

    @Test
    void coldSignKeepsOnlyColdSlotsAndInvalidatesPendingGrant() {
        grant(5, 1, 0);
        ShareReport pending = shares.report(KEY, 1);
        shares.applyColdSign(KEY);
        assertThat(shares.applyGrant(new ShareGrant(KEY, pending.sequence(), 5, 1, 0, DEADLINE), DEADLINE))
                .isFalse();
        assertThat(shares.tryAcquire(KEY, 1)).isPresent();
        assertThat(shares.tryAcquire(KEY, 1)).isEmpty();
        assertThat(shares.report(KEY, 1).coldSignEpoch()).isEqualTo(0);
    }

    @Test
    void completionsOfWorkStartedBeforeTheColdSignAreIgnored() {
        grant(3, 1, 0);
        Slot before = shares.tryAcquire(KEY, 1).orElseThrow();
        shares.applyColdSign(KEY);
        grant(3, 1, 1);
        Slot after = shares.tryAcquire(KEY, 1).orElseThrow();
        shares.recordWarmCompletion(before);
        shares.recordColdCompletion(before);
        shares.recordWarmCompletion(after);
        ShareReport report = shares.report(KEY, 1);
        assertThat(report.warmCompletions()).isEqualTo(1);
        assertThat(report.granted()).isEqualTo(3);
    }

    @Test
    void rateRefusalCarriesTheExactRetryDelay() {
        ShareKey rate = ShareKey.requestRate(OrganisationName.of("carrick"));
        ShareReport report = shares.report(rate, 0);
        long farDeadline = 100_000_000_000L;
        shares.applyGrant(new ShareGrant(rate, report.sequence(), 4, 0, 0, farDeadline), farDeadline);
        assertThat(shares.take(rate, 1, 0)).isInstanceOf(TakeResult.Taken.class);
        TakeResult.RetryLater refused = (TakeResult.RetryLater) shares.take(rate, 1, 0);
        assertThat(refused.retryAfterMs()).isEqualTo(250);
        assertThat(shares.take(rate, 1, 249_000_000L)).isInstanceOf(TakeResult.RetryLater.class);
        assertThat(shares.take(rate, 1, 251_000_000L)).isInstanceOf(TakeResult.Taken.class);
    }
}

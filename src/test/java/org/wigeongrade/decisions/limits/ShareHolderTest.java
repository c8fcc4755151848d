package org.wigeongrade.decisions.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.OrganisationName;

/** What an entry VM may use of its shares: deadlines, lowered grants, outdated grants, cold signs, rates. */
final class ShareHolderTest {
    private static final ShareKey KEY = ShareKey.endpointSlots(EndpointId.of("e1"));
    private static final long DEADLINE = 1_000;

    private final ShareHolder holder = new ShareHolder();

    private void grant(int slots, int coldSlots, long epoch) {
        ShareReport report = holder.report(KEY, 0);
        holder.applyGrant(new ShareGrant(KEY, report.sequence(), slots, coldSlots, epoch, DEADLINE), DEADLINE);
    }

    @Test
    void givesNothingWithoutAGrantOrPastItsDeadline() {
        assertThat(holder.tryAcquire(KEY, 0)).isEmpty();
        grant(1, 0, 0);
        assertThat(holder.tryAcquire(KEY, DEADLINE)).isEmpty();
        assertThat(holder.tryAcquire(KEY, DEADLINE - 1)).isPresent();
        assertThat(holder.tryAcquire(KEY, DEADLINE - 1)).isEmpty();
    }

    @Test
    void slotsBeyondALoweredGrantCountUntilReleased() {
        grant(2, 0, 0);
        Slot first = holder.tryAcquire(KEY, 1).orElseThrow();
        assertThat(holder.tryAcquire(KEY, 1)).isPresent();
        grant(1, 0, 0);
        assertThat(holder.report(KEY, 1).inUse()).isEqualTo(2);
        assertThat(holder.release(first)).isTrue();
        assertThat(holder.release(first)).isFalse();
        assertThat(holder.tryAcquire(KEY, 1)).isEmpty();
    }

    @Test
    void ignoresAGrantThatAnswersAnOlderReport() {
        ShareReport older = holder.report(KEY, 0);
        holder.report(KEY, 0);
        assertThat(holder.applyGrant(new ShareGrant(KEY, older.sequence(), 5, 0, 0, DEADLINE), DEADLINE))
                .isFalse();
        assertThat(holder.tryAcquire(KEY, 1)).isEmpty();
    }

    @Test
    void coldSignLeavesOnlyColdSlotsAndOutdatesTheGrantUnderWay() {
        grant(5, 1, 0);
        ShareReport underWay = holder.report(KEY, 1);
        holder.coldSign(KEY);
        assertThat(holder.applyGrant(new ShareGrant(KEY, underWay.sequence(), 5, 1, 0, DEADLINE), DEADLINE))
                .isFalse();
        assertThat(holder.tryAcquire(KEY, 1)).isPresent();
        assertThat(holder.tryAcquire(KEY, 1)).isEmpty();
        assertThat(holder.report(KEY, 1).coldSignEpoch()).isEqualTo(0);
    }

    @Test
    void answersToWorkBegunBeforeTheColdSignAreNoEvidence() {
        grant(3, 1, 0);
        Slot before = holder.tryAcquire(KEY, 1).orElseThrow();
        holder.coldSign(KEY);
        grant(3, 1, 1);
        Slot after = holder.tryAcquire(KEY, 1).orElseThrow();
        holder.completedWarm(before);
        holder.completedCold(before);
        holder.completedWarm(after);
        ShareReport report = holder.report(KEY, 1);
        assertThat(report.warmCompletions()).isEqualTo(1);
        assertThat(report.granted()).isEqualTo(3);
    }

    @Test
    void rateRefusalCarriesTheExactTimeToComeBack() {
        ShareKey rate = ShareKey.requestRate(OrganisationName.of("carrick"));
        ShareReport report = holder.report(rate, 0);
        long farDeadline = 100_000_000_000L;
        holder.applyGrant(new ShareGrant(rate, report.sequence(), 4, 0, 0, farDeadline), farDeadline);
        assertThat(holder.take(rate, 1, 0)).isInstanceOf(TakeResult.Taken.class);
        TakeResult.ComeBack refused = (TakeResult.ComeBack) holder.take(rate, 1, 0);
        assertThat(refused.retryAfterMs()).isEqualTo(250);
        assertThat(holder.take(rate, 1, 249_000_000L)).isInstanceOf(TakeResult.ComeBack.class);
        assertThat(holder.take(rate, 1, 251_000_000L)).isInstanceOf(TakeResult.Taken.class);
    }
}

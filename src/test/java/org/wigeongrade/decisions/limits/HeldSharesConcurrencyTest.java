package org.wigeongrade.decisions.limits;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.wigeongrade.ids.EndpointId;

/** Checks that the table of held shares is linearizable under concurrent use. */
public final class HeldSharesConcurrencyTest {
    private static final ShareKey KEY = ShareKey.endpointSlots(EndpointId.of("e1"));
    private static final long DEADLINE = 1_000;

    private final HeldShares shares = new HeldShares();

    /** Starts with two granted slots, so that most scenarios acquire some. */
    public HeldSharesConcurrencyTest() {
        ShareReport report = shares.report(KEY, 0);
        shares.applyGrant(new ShareGrant(KEY, report.sequence(), 2, 1, 0, DEADLINE), DEADLINE);
    }

    @Operation
    public long acquire() {
        return shares.tryAcquire(KEY, 0).map(Slot::number).orElse(-1L);
    }

    @Operation
    public boolean releaseFirst() {
        return shares.release(new Slot(KEY, 0, 1, DEADLINE));
    }

    @Operation
    public boolean grantTwo() {
        ShareReport report = shares.report(KEY, 0);
        return shares.applyGrant(new ShareGrant(KEY, report.sequence() + 100, 2, 1, 0, DEADLINE), DEADLINE);
    }

    @Operation
    public void coldSign() {
        shares.applyColdSign(KEY);
    }

    @Operation
    public int inUse() {
        return shares.inUse(KEY);
    }

    @Test
    void stress() {
        new StressOptions()
                .iterations(4)
                .invocationsPerIteration(200)
                .threads(3)
                .actorsPerThread(3)
                .check(HeldSharesConcurrencyTest.class);
    }

    @Test
    void modelChecking() {
        new ModelCheckingOptions()
                .iterations(6)
                .invocationsPerIteration(100)
                .threads(2)
                .actorsPerThread(3)
                .check(HeldSharesConcurrencyTest.class);
    }
}

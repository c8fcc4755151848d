package org.wigeongrade.decisions.limits;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.wigeongrade.ids.EndpointId;

/** Linearizability of the table of shares under concurrent workers. */
public final class ShareHolderConcurrencyTest {
    private static final ShareKey KEY = ShareKey.endpointSlots(EndpointId.of("e1"));
    private static final long DEADLINE = 1_000;

    private final ShareHolder holder = new ShareHolder();

    /** Begins with two slots granted, so that most scenarios acquire some. */
    public ShareHolderConcurrencyTest() {
        ShareReport report = holder.report(KEY, 0);
        holder.applyGrant(new ShareGrant(KEY, report.sequence(), 2, 1, 0, DEADLINE), DEADLINE);
    }

    @Operation
    public long acquire() {
        return holder.tryAcquire(KEY, 0).map(Slot::number).orElse(-1L);
    }

    @Operation
    public boolean releaseFirst() {
        return holder.release(new Slot(KEY, 0, 1, DEADLINE));
    }

    @Operation
    public boolean grantTwo() {
        ShareReport report = holder.report(KEY, 0);
        return holder.applyGrant(new ShareGrant(KEY, report.sequence() + 100, 2, 1, 0, DEADLINE), DEADLINE);
    }

    @Operation
    public void coldSign() {
        holder.coldSign(KEY);
    }

    @Operation
    public int inUse() {
        return holder.inUse(KEY);
    }

    @Test
    void stress() {
        new StressOptions()
                .iterations(4)
                .invocationsPerIteration(200)
                .threads(3)
                .actorsPerThread(3)
                .check(ShareHolderConcurrencyTest.class);
    }

    @Test
    void modelChecking() {
        new ModelCheckingOptions()
                .iterations(6)
                .invocationsPerIteration(100)
                .threads(2)
                .actorsPerThread(3)
                .check(ShareHolderConcurrencyTest.class);
    }
}

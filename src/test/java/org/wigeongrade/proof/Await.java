package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.function.BooleanSupplier;

/** Waits with an upper time limit, for process tests. Stateless. */
public final class Await {
    private static final long POLL_MS = 50;

    private Await() {}

    /** Waits until {@code condition} is true; fails with {@code description} after {@code timeoutMs}. */
    public static void until(String description, long timeoutMs, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertWithMessage("%s within %s ms", description, timeoutMs)
                    .that(System.nanoTime() - deadlineNanos)
                    .isLessThan(0);
            sleepMs(POLL_MS);
        }
    }

    public static void sleepMs(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

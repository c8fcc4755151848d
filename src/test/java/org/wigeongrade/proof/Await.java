package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.function.BooleanSupplier;

/** Waits of the process tests, all bounded. Stateless. */
public final class Await {
    private static final long POLL_MS = 50;

    private Await() {}

    /** Waits until {@code condition} holds; fails with {@code what} after {@code timeoutMs}. */
    public static void until(String what, long timeoutMs, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertWithMessage("%s within %s ms", what, timeoutMs)
                    .that(System.nanoTime() - deadlineNanos)
                    .isLessThan(0);
            sleepMs(POLL_MS);
        }
    }

    public static void sleepMs(long timeMs) {
        try {
            Thread.sleep(timeMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

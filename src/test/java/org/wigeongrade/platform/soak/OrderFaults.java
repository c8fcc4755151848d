package org.wigeongrade.platform.soak;

import java.util.concurrent.ThreadLocalRandom;
import org.wigeongrade.proof.Await;

/** Faults in how an endpoint VM answers orders. At most one fault of each kind at a time. Thread safe. */
final class OrderFaults {
    private static final double AFFECTED_RATIO = 0.7;
    private static final long MIN_DELAY_MS = 400;
    private static final long DELAY_SPREAD_MS = 3_000;

    private static final String LEAVE = "leave";

    private volatile boolean late;
    private volatile boolean leavesLate;
    private volatile int refusalStatus;

    /** Leaves orders unanswered for {@code forMs}, and carries them out later, after newer ones. */
    void delayOrders(long forMs) {
        late = true;
        Await.sleepMs(forMs);
        late = false;
    }

    /** Leaves orders to leave a group unanswered for {@code forMs}, and carries them out later. */
    void delayLeaves(long forMs) {
        leavesLate = true;
        Await.sleepMs(forMs);
        leavesLate = false;
    }

    /** Refuses orders with {@code status} for {@code forMs}. */
    void refuseOrders(int status, long forMs) {
        refusalStatus = status;
        Await.sleepMs(forMs);
        refusalStatus = 0;
    }

    /** Returns the status with which to refuse the next order, 0 if it is not refused. */
    int nextRefusal() {
        return isAffected() ? refusalStatus : 0;
    }

    /** Returns how long to wait before the next order is carried out without an answer, 0 if it is answered. */
    long nextDelayMs(String operation) {
        final boolean delayed = late || (leavesLate && operation.equals(LEAVE));
        return delayed && isAffected()
                ? MIN_DELAY_MS + ThreadLocalRandom.current().nextLong(DELAY_SPREAD_MS)
                : 0;
    }

    private static boolean isAffected() {
        return ThreadLocalRandom.current().nextDouble() < AFFECTED_RATIO;
    }
}

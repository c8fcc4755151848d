package org.wigeongrade.bench;

import org.wigeongrade.decisions.limits.HeldShares;
import org.wigeongrade.ids.NodeName;

/**
 * An entry VM of {@link ShareSimulation}: its shares, its clock, which runs at its own speed, and whether it is dead or
 * frozen. Not thread-safe.
 */
final class SimulatedEntryVm {
    final NodeName name;
    private final long clockOffsetNanos;
    private final double clockSpeed;
    private HeldShares shares = new HeldShares();
    private long incarnation = 1;
    private boolean dead;
    private long frozenUntilNanos;

    SimulatedEntryVm(int number, long clockOffsetNanos, double clockSpeed) {
        this.name = NodeName.of("entry-" + number);
        this.clockOffsetNanos = clockOffsetNanos;
        this.clockSpeed = clockSpeed;
    }

    HeldShares shares() {
        return shares;
    }

    long incarnation() {
        return incarnation;
    }

    long clockNanos(long nowNanos) {
        return clockOffsetNanos + (long) (nowNanos * clockSpeed);
    }

    boolean isDead() {
        return dead;
    }

    boolean isFrozen(long nowNanos) {
        return nowNanos < frozenUntilNanos;
    }

    long frozenUntilNanos() {
        return frozenUntilNanos;
    }

    void kill() {
        dead = true;
    }

    void restart() {
        dead = false;
        frozenUntilNanos = 0;
        incarnation++;
        shares = new HeldShares();
    }

    void freezeUntil(long untilNanos) {
        frozenUntilNanos = untilNanos;
    }
}

package org.wigeongrade.callers;

/** Runs tasks later, one call of each. Implementations are safe for use from any thread and log what a task throws. */
@FunctionalInterface
public interface Delay {
    /** Runs the task once after {@code delayMs}, on another thread. */
    void run(Runnable task, long delayMs);
}

package org.wigeongrade.callers;

/** Runs tasks after a delay. Implementations are safe for use from any thread and log what a task throws. */
@FunctionalInterface
public interface TaskScheduler {
    /** Runs the task once after {@code delayMs}, on another thread. */
    void schedule(Runnable task, long delayMs);
}

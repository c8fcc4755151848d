package org.wigeongrade.endpoints;

import java.util.Optional;

/**
 * Cancels one send. Cancelling closes the connection, which tells the endpoint that nobody waits for the answer.
 *
 * <p>Invariant: the close action runs at most once, also when the cancel comes before the connection exists. Thread
 * safe; the close action runs outside the lock.
 */
public final class SendHandle {
    private boolean cancelled;
    private Optional<Runnable> closeAction = Optional.empty();

    /** Cancels the send; no listener call follows the one that may be running now. */
    public void cancel() {
        final Optional<Runnable> action;
        synchronized (this) {
            cancelled = true;
            action = closeAction;
            closeAction = Optional.empty();
        }
        action.ifPresent(Runnable::run);
    }

    /** Returns whether the send was cancelled. */
    public synchronized boolean isCancelled() {
        return cancelled;
    }

    void onCancel(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                closeAction = Optional.of(action);
                return;
            }
        }
        action.run();
    }
}

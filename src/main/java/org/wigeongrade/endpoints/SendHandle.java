package org.wigeongrade.endpoints;

import java.util.Optional;

/**
 * Cancels one request. Cancelling closes the connection, which tells the endpoint that its response is no longer
 * needed.
 *
 * <p>Invariant: the close action runs at most once, even if the request is cancelled before the connection exists.
 * Thread safe; the close action runs without holding the lock.
 */
public final class SendHandle {
    private boolean cancelled;
    private Optional<Runnable> closeAction = Optional.empty();

    /** Cancels the request; apart from a listener call that is already running, no more listener calls follow. */
    public void cancel() {
        final Optional<Runnable> action;
        synchronized (this) {
            cancelled = true;
            action = closeAction;
            closeAction = Optional.empty();
        }
        action.ifPresent(Runnable::run);
    }

    /** Returns whether the request was cancelled. */
    public synchronized boolean isCancelled() {
        return cancelled;
    }

    /** Sets the action that closes the connection; runs it immediately if the request was already cancelled. */
    void setCloseAction(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                closeAction = Optional.of(action);
                return;
            }
        }
        action.run();
    }
}

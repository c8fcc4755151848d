package org.wigeongrade.standin;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One response that the stand-in engine generates token by token.
 *
 * <p>Invariant: ends exactly once, with one outcome, and no token follows the end. The listener is called by one thread
 * at a time, without holding the engine's lock. Safe for use from any thread.
 */
final class Generation {
    private static final long HANG_POLL_MS = 20;

    /** Receives the tokens of one response. */
    interface Listener {
        /** Receives the next token. */
        void onToken(String text);

        /** Receives the outcome; no further call follows. */
        void onEnd(JournalEvent outcome);
    }

    private final EngineVm engine;
    private final ScheduledExecutorService timer;
    private final String attemptId;
    private final Prompt prompt;
    private final int priority;
    private final boolean cold;
    private final int cutAtToken;
    private Listener listener;
    private int nextToken;
    private boolean ended;

    /** Creates a generation that is cut short before token {@code cutAtToken}, or never if that is negative. */
    Generation(EngineVm engine, String attemptId, Prompt prompt, int priority, boolean cold, int cutAtToken) {
        this.engine = engine;
        this.timer = engine.timer();
        this.attemptId = attemptId;
        this.prompt = prompt;
        this.priority = priority;
        this.cold = cold;
        this.cutAtToken = cutAtToken;
        this.nextToken = prompt.continueFrom().length() / ResponseText.TOKEN_CHARS;
    }

    String attemptId() {
        return attemptId;
    }

    Prompt prompt() {
        return prompt;
    }

    int priority() {
        return priority;
    }

    /** Returns whether the engine was cold when it admitted the request. */
    boolean cold() {
        return cold;
    }

    /** Submits the request to the engine; {@code newListener} receives its tokens. */
    void start(Listener newListener) {
        synchronized (this) {
            listener = newListener;
        }
        engine.enqueue(this);
    }

    /** Starts to generate after {@code prefillMs}; called by the engine when a slot is free. */
    void scheduleFirstToken(long prefillMs) {
        schedule(prefillMs);
    }

    private void schedule(long delayMs) {
        ScheduledFuture<?> unused = timer.schedule(this::step, delayMs, TimeUnit.MILLISECONDS);
    }

    private void step() {
        if (engine.faults().current().hang()) {
            schedule(HANG_POLL_MS);
            return;
        }
        if (engine.crashesOn(prompt)) {
            engine.crashOn(this);
            return;
        }
        if (nextToken == cutAtToken) {
            end(JournalEvent.CUT_SHORT);
            return;
        }
        if (nextToken >= prompt.maxTokens()) {
            end(JournalEvent.COMPLETED);
            return;
        }
        emitToken();
        schedule(engine.tokenMs());
    }

    private synchronized void emitToken() {
        if (ended) {
            return;
        }
        String text = ResponseText.token(prompt.model(), prompt.digest(), nextToken);
        int alreadySentChars = prompt.continueFrom().length() - nextToken * ResponseText.TOKEN_CHARS;
        nextToken++;
        listener.onToken(alreadySentChars > 0 ? text.substring(alreadySentChars) : text);
    }

    /** Ends the response because its connection was closed. */
    void cancel() {
        end(JournalEvent.CANCELLED);
    }

    /** Ends the response with {@code outcome} unless it has already ended. */
    void end(JournalEvent outcome) {
        Listener listenerToNotify;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            listenerToNotify = listener;
        }
        engine.onGenerationEnded(this, outcome);
        if (listenerToNotify != null) {
            listenerToNotify.onEnd(outcome);
        }
    }

    synchronized boolean isEnded() {
        return ended;
    }
}

package org.wigeongrade.standin;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One answer that the stand-in engine generates, token after token.
 *
 * <p>Invariant: ends exactly once, with one outcome, and no token follows the end. The listener is called by one thread
 * at a time, without the engine's lock. Safe for use from any thread.
 */
final class Generation {
    private static final long HANG_POLL_MS = 20;

    /** Takes the tokens of one answer. */
    interface Listener {
        /** Takes the next token. */
        void token(String text);

        /** Takes the outcome; no further call follows. */
        void ended(JournalEvent outcome);
    }

    private final EngineVm engine;
    private final ScheduledExecutorService timer;
    private final String attempt;
    private final Prompt prompt;
    private final int priority;
    private final boolean cold;
    private final int cutAtToken;
    private Listener listener;
    private int nextToken;
    private boolean ended;

    /** {@code cutAtToken} is the token before which the answer is cut; negative for never. */
    Generation(EngineVm engine, String attempt, Prompt prompt, int priority, boolean cold, int cutAtToken) {
        this.engine = engine;
        this.timer = engine.timer();
        this.attempt = attempt;
        this.prompt = prompt;
        this.priority = priority;
        this.cold = cold;
        this.cutAtToken = cutAtToken;
        this.nextToken = prompt.continueFrom().length() / AnswerText.TOKEN_CHARS;
    }

    String attempt() {
        return attempt;
    }

    Prompt prompt() {
        return prompt;
    }

    int priority() {
        return priority;
    }

    /** Returns whether the engine was cold when it took the request. */
    boolean cold() {
        return cold;
    }

    /** Hands the request to the engine; {@code newListener} gets its tokens. */
    void open(Listener newListener) {
        synchronized (this) {
            listener = newListener;
        }
        engine.enqueue(this);
    }

    /** Begins to generate after {@code prefillMs}; called by the engine when a slot is free. */
    void run(long prefillMs) {
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
            engine.crash(this);
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
        emit();
        schedule(engine.tokenMs());
    }

    private synchronized void emit() {
        if (ended) {
            return;
        }
        String text = AnswerText.token(prompt.model(), prompt.digest(), nextToken);
        int sentChars = prompt.continueFrom().length() - nextToken * AnswerText.TOKEN_CHARS;
        nextToken++;
        listener.token(sentChars > 0 ? text.substring(sentChars) : text);
    }

    /** Ends the answer because its connection was closed. */
    void cancel() {
        end(JournalEvent.CANCELLED);
    }

    /** Ends the answer with {@code outcome} unless it has ended already. */
    void end(JournalEvent outcome) {
        Listener told;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            told = listener;
        }
        engine.finished(this, outcome);
        if (told != null) {
            told.ended(outcome);
        }
    }

    synchronized boolean isEnded() {
        return ended;
    }
}

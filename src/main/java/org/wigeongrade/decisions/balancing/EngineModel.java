package org.wigeongrade.decisions.balancing;

import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;

/**
 * Predicts how long a group takes, from the published profile of its engine and what was observed. Not thread safe.
 *
 * <p>An engine works in passes: each pass reads pieces of waiting prompts and then runs some token steps for all requests
 * that write. An event holds the tokens of one pass.
 */
public final class EngineModel {
    private static final double MS_PER_SECOND = 1_000;
    private static final double PAIRS_PER_MILLION = 1e6;
    private static final double TOKENS_PER_KILOTOKEN = 1_000;
    /** Prompt tokens of context assumed for a request that runs; the users' mean prompt. */
    private static final double USUAL_CONTEXT_TOKENS = 1_100;
    /** Events of an answer assumed for a request that runs; the users' mean answer. */
    private static final double USUAL_EVENTS = 23;

    private final EngineProfile engine;
    private final double pace;
    private final LearnedOverhead overhead;

    /** @param overhead what first events took longer than the profile says; learned by the node that predicts */
    public EngineModel(EngineProfile engine, GroupedModel model, LearnedOverhead overhead) {
        this.engine = engine;
        this.pace = model.paceFactor();
        this.overhead = overhead;
    }

    /** Takes the time that a first event took against what was predicted, in milliseconds. */
    public void observedFirst(double tookMs, double predictedMs) {
        overhead.observed(tookMs - predictedMs + overhead.ms());
    }

    /** Returns the requests that one group runs at once. */
    public int slots() {
        return engine.slots();
    }

    /** Returns the time of one token step, in milliseconds, with so many requests that write. */
    private double stepMs(int writing) {
        final int inBatch = Math.min(writing, engine.slots());
        final double contextMs = engine.contextMsPerKilotoken() * USUAL_CONTEXT_TOKENS / TOKENS_PER_KILOTOKEN;
        return pace * (engine.stepMs() + inBatch * (engine.perSequenceMs() + contextMs));
    }

    /** Returns the time of one pass without reading, in milliseconds, with so many requests that write. */
    public double passMs(int writing) {
        return stepMs(writing) * engine.strideSteps();
    }

    /** Returns the time to read prompts, in milliseconds, with nothing else to do. */
    public double readMs(int promptTokens) {
        final double pairsMs = engine.pairsMsPerMillion() * promptTokens / 2.0 * promptTokens / PAIRS_PER_MILLION;
        return pace * (promptTokens / engine.readTokensPerSecond() * MS_PER_SECOND + pairsMs);
    }

    /**
     * Returns the time from the arrival of a request to its first event, in milliseconds.
     *
     * @param running requests at the group
     * @param unreadTokens prompt tokens of those that are not read yet
     */
    public double firstEventMs(int running, int unreadTokens, int promptTokens) {
        final double waitingReadMs = pace * unreadTokens / engine.readTokensPerSecond() * MS_PER_SECOND;
        final int readSteps = 1 + (unreadTokens + promptTokens) / Math.max(1, engine.chunkTokens());
        final double startMs = running == 0 ? 0 : passMs(running) / 2;
        return overhead.ms()
                + startMs
                + waitingReadMs
                + readMs(promptTokens)
                + readSteps * stepMs(running)
                + passMs(running + 1)
                + waitForSlotMs(running);
    }

    /** Returns about how long a request waits until one of the running ones ends, in milliseconds. */
    public double waitForSlotMs(int running) {
        final int waiting = running - engine.slots() + 1;
        return waiting <= 0 ? 0 : waiting * passMs(engine.slots()) * USUAL_EVENTS / engine.slots();
    }
}

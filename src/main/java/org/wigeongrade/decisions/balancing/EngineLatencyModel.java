package org.wigeongrade.decisions.balancing;

import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;

/**
 * Predicts the latency of a group from the published profile of its engine and from measured latencies. Not thread
 * safe.
 *
 * <p>An engine works in passes: each pass prefills chunks of waiting prompts and then runs several decode steps for all
 * decoding requests. An event carries the tokens of one pass.
 */
public final class EngineLatencyModel {
    private static final double MS_PER_SECOND = 1_000;
    private static final double PAIRS_PER_MILLION = 1e6;
    private static final double TOKENS_PER_KILOTOKEN = 1_000;
    /** Assumed context of a running request, in tokens: the users' mean prompt. */
    private static final double MEAN_CONTEXT_TOKENS = 1_100;
    /** Assumed number of events of a running request: the users' mean response. */
    private static final double MEAN_EVENTS_PER_ANSWER = 23;

    private final EngineProfile engine;
    private final double paceFactor;
    private final LearnedOverhead overhead;

    /** @param overhead time by which first events come later than the profile predicts, as learned by this node */
    public EngineLatencyModel(EngineProfile engine, GroupedModel model, LearnedOverhead overhead) {
        this.engine = engine;
        this.paceFactor = model.paceFactor();
        this.overhead = overhead;
    }

    /** Updates the learned overhead from the measured and the predicted time of a first event, in milliseconds. */
    public void recordFirstEvent(double tookMs, double predictedMs) {
        overhead.record(tookMs - predictedMs + overhead.ms());
    }

    /** Returns the number of requests that one group runs at once. */
    public int slots() {
        return engine.slots();
    }

    /** Returns the time of one decode step with the given number of decoding requests, in milliseconds. */
    private double stepMs(int decoding) {
        final int inBatch = Math.min(decoding, engine.slots());
        final double contextMs = engine.contextMsPerKilotoken() * MEAN_CONTEXT_TOKENS / TOKENS_PER_KILOTOKEN;
        return paceFactor * (engine.stepMs() + inBatch * (engine.perSequenceMs() + contextMs));
    }

    /** Returns the time of one pass without prefill with the given number of decoding requests, in milliseconds. */
    public double passMs(int decoding) {
        return stepMs(decoding) * engine.stepsPerPass();
    }

    /** Returns the time of the prefill of a prompt on an otherwise idle engine, in milliseconds. */
    public double prefillMs(int promptTokens) {
        final double pairsMs =
                engine.attentionMsPerMillionPairs() * promptTokens / 2.0 * promptTokens / PAIRS_PER_MILLION;
        return paceFactor * (promptTokens / engine.prefillTokensPerSecond() * MS_PER_SECOND + pairsMs);
    }

    /**
     * Returns the time from the arrival of a request to its first event, in milliseconds.
     *
     * @param running requests in flight at the group
     * @param pendingPromptTokens prompt tokens of these requests that wait for prefill
     */
    public double firstEventMs(int running, int pendingPromptTokens, int promptTokens) {
        final double pendingPrefillMs =
                paceFactor * pendingPromptTokens / engine.prefillTokensPerSecond() * MS_PER_SECOND;
        final int prefillSteps = 1 + (pendingPromptTokens + promptTokens) / Math.max(1, engine.prefillChunkTokens());
        final double currentPassMs = running == 0 ? 0 : passMs(running) / 2;
        return overhead.ms()
                + currentPassMs
                + pendingPrefillMs
                + prefillMs(promptTokens)
                + prefillSteps * stepMs(running)
                + passMs(running + 1)
                + waitForSlotMs(running);
    }

    /** Returns the estimated time that a request waits for a slot, in milliseconds. */
    public double waitForSlotMs(int running) {
        final int waiting = running - engine.slots() + 1;
        return waiting <= 0 ? 0 : waiting * passMs(engine.slots()) * MEAN_EVENTS_PER_ANSWER / engine.slots();
    }
}

package org.wigeongrade.bench;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of a load run. Latencies are in microseconds from the scheduled start of each request.
 *
 * <p>Safe for use from any thread.
 */
public final class LoadResult {
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);

    private final Histogram latencyMicros = newHistogram();
    private final Histogram firstTokenMicros = newHistogram();
    private final Histogram tokenGapMicros = newHistogram();
    private final Map<String, Long> codes = new TreeMap<>();
    private final Map<String, Long> runStatuses = new TreeMap<>();
    private long notSent;
    private long tokens;
    private long elapsedNanos;

    private static Histogram newHistogram() {
        return new Histogram(MAX_LATENCY_MICROS, 3);
    }

    synchronized void add(CallResult result) {
        codes.merge(result.code(), 1L, Long::sum);
        runStatuses.merge(result.runStatus(), 1L, Long::sum);
        if (!result.isOk()) {
            return;
        }
        record(latencyMicros, result.latencyNanos());
        if (result.firstTokenNanos() >= 0) {
            record(firstTokenMicros, result.firstTokenNanos());
        }
        result.tokenGapsNanos().forEach(gap -> record(tokenGapMicros, gap));
        tokens += result.text().length() / org.wigeongrade.standin.ResponseText.TOKEN_CHARS;
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos))));
    }

    synchronized void addNotSent() {
        notSent++;
    }

    synchronized void setElapsedNanos(long nanos) {
        elapsedNanos = nanos;
    }

    /** Returns the number of results with each code. */
    public synchronized Map<String, Long> codes() {
        return new TreeMap<>(codes);
    }

    /** Returns the number of results with each run status. */
    public synchronized Map<String, Long> runStatuses() {
        return new TreeMap<>(runStatuses);
    }

    /** Returns the number of requests that were due but not sent because too many were in flight. */
    public synchronized long notSent() {
        return notSent;
    }

    /** Returns the number of tokens per second in complete and correct responses. */
    public synchronized double tokensPerSecond() {
        return elapsedNanos == 0 ? 0 : tokens * 1e9 / elapsedNanos;
    }

    /** Returns the number of complete and correct responses per second. */
    public synchronized double responsesPerSecond() {
        return elapsedNanos == 0 ? 0 : codes.getOrDefault(CallResult.OK, 0L) * 1e9 / elapsedNanos;
    }

    public synchronized Histogram latencyMicros() {
        return latencyMicros.copy();
    }

    public synchronized Histogram firstTokenMicros() {
        return firstTokenMicros.copy();
    }

    public synchronized Histogram tokenGapMicros() {
        return tokenGapMicros.copy();
    }
}

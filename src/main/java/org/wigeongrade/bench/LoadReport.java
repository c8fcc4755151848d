package org.wigeongrade.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.wigeongrade.standin.StandinJson;

/** Formats load results, by run name, as text and as JSON. Not safe for concurrent use. */
final class LoadReport {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};

    private final LoadPlan plan;
    private final String revision;
    private final Map<String, LoadResult> resultsByRun = new LinkedHashMap<>();

    LoadReport(LoadPlan plan, String revision) {
        this.plan = plan;
        this.revision = revision;
    }

    void add(String name, LoadResult result) {
        resultsByRun.put(name, result);
    }

    Map<String, LoadResult> resultsByRun() {
        return resultsByRun;
    }

    /** Returns the report as text; latencies are in milliseconds. */
    String toText() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "seed %d, revision %s, %s, %.1f requests/s for %d ms%n",
                plan.seed(),
                revision,
                plan.workload(),
                plan.requestsPerSecond(),
                plan.durationMs()));
        resultsByRun.forEach((name, result) -> appendRun(text, name, result));
        if (resultsByRun.size() == 2) {
            appendAddedLatency(text);
        }
        return text.toString();
    }

    private static void appendRun(StringBuilder text, String name, LoadResult result) {
        text.append(String.format(
                Locale.ROOT,
                "%s: %.1f responses/s, %.0f tokens/s, codes %s, run statuses %s, not sent %d%n",
                name,
                result.responsesPerSecond(),
                result.tokensPerSecond(),
                result.codes(),
                result.runStatuses(),
                result.notSent()));
        appendHistogram(text, "  latency ms", result.latencyMicros());
        appendHistogram(text, "  first token ms", result.firstTokenMicros());
        appendHistogram(text, "  between tokens ms", result.tokenGapMicros());
    }

    private static void appendHistogram(StringBuilder text, String name, Histogram micros) {
        if (micros.getTotalCount() == 0) {
            return;
        }
        text.append(name);
        for (double percentile : PERCENTILES) {
            text.append(String.format(
                    Locale.ROOT, "  p%s %.2f", percentileLabel(percentile), percentileMs(micros, percentile)));
        }
        text.append(String.format(Locale.ROOT, "  max %.2f%n", micros.getMaxValue() / 1e3));
    }

    private void appendAddedLatency(StringBuilder text) {
        LoadResult[] results = resultsByRun.values().toArray(new LoadResult[0]);
        text.append("added latency ms");
        for (double percentile : PERCENTILES) {
            double addedMs = percentileMs(results[1].latencyMicros(), percentile)
                    - percentileMs(results[0].latencyMicros(), percentile);
            text.append(String.format(Locale.ROOT, "  p%s %.2f", percentileLabel(percentile), addedMs));
        }
        text.append(String.format("%n"));
    }

    private static double percentileMs(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / 1e3;
    }

    private static String percentileLabel(double percentile) {
        return percentile == Math.rint(percentile) ? Integer.toString((int) percentile) : Double.toString(percentile);
    }

    /** Returns the report as JSON; latencies are in microseconds. */
    String toJson() {
        ObjectNode report = StandinJson.MAPPER.createObjectNode();
        report.put("seed", plan.seed());
        report.put("revision", revision);
        report.set("plan", StandinJson.MAPPER.valueToTree(plan.withoutKeys()));
        resultsByRun.forEach((name, result) -> report.set(name, resultJson(result)));
        return report.toPrettyString();
    }

    private static ObjectNode resultJson(LoadResult result) {
        ObjectNode run = StandinJson.MAPPER.createObjectNode();
        run.put("answers_per_second", result.responsesPerSecond());
        run.put("tokens_per_second", result.tokensPerSecond());
        run.put("not_sent", result.notSent());
        run.set("codes", StandinJson.MAPPER.valueToTree(result.codes()));
        run.set("run_claims", StandinJson.MAPPER.valueToTree(result.runStatuses()));
        run.set("latency_micros", percentilesJson(result.latencyMicros()));
        run.set("first_token_micros", percentilesJson(result.firstTokenMicros()));
        run.set("token_gap_micros", percentilesJson(result.tokenGapMicros()));
        return run;
    }

    private static ObjectNode percentilesJson(Histogram micros) {
        ObjectNode json = StandinJson.MAPPER.createObjectNode();
        json.put("count", micros.getTotalCount());
        for (double percentile : PERCENTILES) {
            json.put("p" + percentileLabel(percentile), micros.getValueAtPercentile(percentile));
        }
        json.put("max", micros.getMaxValue());
        return json;
    }
}

package org.wigeongrade.bench;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Plots latency by percentile as SVG, with one line for each run. The percentile axis is spaced by nines (90, 99,
 * 99.9); the latency axis is logarithmic. Stateless; safe for use from any thread.
 */
final class LatencyPlot {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 360;
    private static final int MARGIN = 50;
    private static final double[] PERCENTILES = {0, 25, 50, 75, 90, 95, 99, 99.5, 99.9};
    private static final String[] COLOURS = {"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad"};

    private LatencyPlot() {}

    /** Returns an SVG plot of the latencies of the runs, by run name. */
    static String svg(Map<String, LoadResult> runs) {
        double maxMicros = runs.values().stream()
                .mapToDouble(run -> Math.max(1, run.latencyMicros().getMaxValue()))
                .max()
                .orElse(1);
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"11\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH,
                HEIGHT));
        appendAxes(svg, maxMicros);
        int index = 0;
        for (Map.Entry<String, LoadResult> run : runs.entrySet()) {
            appendLine(svg, index, run.getKey(), run.getValue().latencyMicros(), maxMicros);
            index++;
        }
        return svg.append("</svg>\n").toString();
    }

    private static void appendAxes(StringBuilder svg, double maxMicros) {
        for (double percentile : PERCENTILES) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s%%</text>%n",
                    x(percentile),
                    HEIGHT - MARGIN + 18,
                    percentile));
        }
        for (double micros = 1; micros <= maxMicros * 10; micros *= 10) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>%n"
                            + "<text x=\"4\" y=\"%.1f\">%s ms</text>%n",
                    MARGIN,
                    WIDTH - MARGIN,
                    y(micros, maxMicros),
                    y(micros, maxMicros),
                    y(micros, maxMicros) + 4,
                    micros / 1e3));
        }
    }

    private static void appendLine(StringBuilder svg, int index, String name, Histogram micros, double maxMicros) {
        String colour = COLOURS[index % COLOURS.length];
        svg.append("<polyline fill=\"none\" stroke=\"").append(colour).append("\" points=\"");
        for (double percentile : PERCENTILES) {
            double value = Math.max(1, micros.getValueAtPercentile(percentile));
            svg.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(percentile), y(value, maxMicros)));
        }
        svg.append(String.format(
                Locale.ROOT,
                "\"/>%n<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
                MARGIN + 10,
                20 + 14 * index,
                colour,
                name));
    }

    private static double x(double percentile) {
        double nines = -Math.log10(1 - percentile / 100);
        return MARGIN + nines / 3 * (WIDTH - 2 * MARGIN);
    }

    private static double y(double micros, double maxMicros) {
        double fraction = Math.log10(micros) / Math.max(1, Math.log10(maxMicros) + 0.2);
        return HEIGHT - MARGIN - fraction * (HEIGHT - 2 * MARGIN);
    }
}

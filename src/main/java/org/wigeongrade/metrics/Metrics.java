package org.wigeongrade.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmGarbageCollectorMetrics;
import io.prometheus.metrics.instrumentation.jvm.JvmMemoryMetrics;
import io.prometheus.metrics.instrumentation.jvm.JvmThreadsMetrics;
import io.prometheus.metrics.instrumentation.jvm.ProcessMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.PoolName;

/**
 * The series of one process.
 *
 * <p>Invariant: each refusal and retry reason has its series from the start, at zero. Times are given in nanoseconds or
 * milliseconds and exposed in seconds. Safe for use from any thread.
 */
public final class Metrics {
    /** Content type of {@link #render}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MS_PER_SECOND = 1e3;
    private static final double[] FIRST_BYTE_BOUNDS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.61, 1, 2, 5, 10, 30
    };
    private static final double[] REQUEST_BOUNDS_SECONDS = {0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120};
    private static final double[] TOKEN_GAP_BOUNDS_SECONDS = {0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.25, 1, 10};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    private final Counter refusals = counter(MetricName.REFUSALS, "reason");
    private final Counter retries = counter(MetricName.RETRIES, "reason");
    private final Counter requestsByZone = counter(MetricName.REQUESTS, "zone", "outcome");
    private final Counter groupDowntime = counter(MetricName.GROUP_DOWNTIME, "pool");
    private final Counter strandedAccelerators = counter(MetricName.STRANDED_ACCELERATORS, "pool");
    private final Histogram firstByte = histogram(MetricName.FIRST_BYTE, FIRST_BYTE_BOUNDS_SECONDS);
    private final Histogram wholeRequest = histogram(MetricName.REQUEST_DURATION, REQUEST_BOUNDS_SECONDS);
    private final Histogram tokenGap = histogram(MetricName.TOKEN_GAP, TOKEN_GAP_BOUNDS_SECONDS);
    private final Gauge viewLease = gauge(MetricName.VIEW_LEASE);
    private final Gauge revision = gauge(MetricName.REVISION);
    private final Gauge inFlight = gauge(MetricName.IN_FLIGHT);
    private final Gauge leader = gauge(MetricName.LEADER);

    /** Creates every series, with each refusal and retry reason at zero. */
    public Metrics() {
        for (final ErrorKind kind : ErrorKind.values()) {
            refusals.labelValues(kind.code());
        }
        for (final RetryReason reason : RetryReason.values()) {
            retries.labelValues(reason.code());
        }
    }

    /** Adds memory, collector, thread and process series of the JVM. Call it once. */
    public Metrics withJvm() {
        JvmMemoryMetrics.builder().register(registry);
        JvmGarbageCollectorMetrics.builder().register(registry);
        JvmThreadsMetrics.builder().register(registry);
        ProcessMetrics.builder().register(registry);
        return this;
    }

    /** Counts one refusal or error answer. */
    public void refused(ErrorKind kind) {
        refusals.labelValues(kind.code()).inc();
    }

    /** Counts one request that was sent again or resumed. */
    public void retried(RetryReason reason) {
        retries.labelValues(reason.code()).inc();
    }

    /** Counts the end of one request; {@code zone} is that of the endpoint, or of this VM if none was chosen. */
    public void requestEnded(AvailabilityZone zone, RequestOutcome outcome, long durationNanos) {
        requestsByZone.labelValues(zone.value(), outcome.code()).inc();
        wholeRequest.observe(durationNanos / NANOS_PER_SECOND);
    }

    /** Records the time from a request's arrival to the first byte of its answer. */
    public void firstByteSent(long durationNanos) {
        firstByte.observe(durationNanos / NANOS_PER_SECOND);
    }

    /** Records the time between two events of one stream. */
    public void tokenSent(long sincePreviousNanos) {
        tokenGap.observe(sincePreviousNanos / NANOS_PER_SECOND);
    }

    /** Adds the time that the declared groups of a pool were not serving, summed over the groups. */
    public void addGroupDowntimeMs(PoolName pool, long downtimeMs) {
        groupDowntime.labelValues(pool.value()).inc(downtimeMs / MS_PER_SECOND);
    }

    /** Adds accelerators held but not serving in a whole group, multiplied by the time. */
    public void addStrandedAcceleratorMs(PoolName pool, long acceleratorMs) {
        strandedAccelerators.labelValues(pool.value()).inc(acceleratorMs / MS_PER_SECOND);
    }

    /** States whether this node holds a valid view lease. */
    public void setViewLease(boolean held) {
        viewLease.set(held ? 1 : 0);
    }

    /** States the configuration revision in force on this node. */
    public void setRevision(long revisionInForce) {
        revision.set((double) revisionInForce);
    }

    /** States whether this node leads the control VMs. */
    public void setLeader(boolean leads) {
        leader.set(leads ? 1 : 0);
    }

    /** Counts a request that arrived; {@link #requestLeft} counts its end. */
    public void requestArrived() {
        inFlight.inc();
    }

    /** Counts the end of a request that {@link #requestArrived} counted. */
    public void requestLeft() {
        inFlight.dec();
    }

    /** Returns every series in the Prometheus text format. */
    public String render() {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            writer.write(bytes, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("metrics cannot be written to memory", e);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private Counter counter(MetricName name, String... labels) {
        return Counter.builder()
                .name(name.seriesName())
                .help(name.help())
                .labelNames(labels)
                .withoutExemplars()
                .register(registry);
    }

    private Histogram histogram(MetricName name, double... boundsSeconds) {
        return Histogram.builder()
                .name(name.seriesName())
                .help(name.help())
                .classicOnly()
                .classicUpperBounds(boundsSeconds)
                .withoutExemplars()
                .register(registry);
    }

    private Gauge gauge(MetricName name) {
        return Gauge.builder()
                .name(name.seriesName())
                .help(name.help())
                .withoutExemplars()
                .register(registry);
    }
}

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
 * The metrics of one process.
 *
 * <p>Invariant: each refusal reason, closing cause, cut cause, response fault, retry reason and connection outcome has a time series from the start, at zero. Times are given in nanoseconds
 * or milliseconds and exposed in seconds. Safe for use from any thread.
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
    private final Counter clientClosings = counter(MetricName.CLIENT_CLOSINGS, "cause");
    private final Counter cutResponses = counter(MetricName.CUT_RESPONSES, "cause");
    private final Counter invalidResponses = counter(MetricName.INVALID_RESPONSES, "reason");
    private final Counter retries = counter(MetricName.RETRIES, "reason");
    private final Counter lostInFlight = counter(MetricName.LOST_IN_FLIGHT);
    private final Counter lostReportsDropped = counter(MetricName.LOST_REPORTS_DROPPED);
    private final Counter endpointConnections = counter(MetricName.ENDPOINT_CONNECTIONS, "outcome");
    private final Counter relayed = counter(MetricName.RELAYED);
    private final Gauge endpointLinksCut = gauge(MetricName.ENDPOINT_LINKS_CUT);
    private final Counter requestsByZone = counter(MetricName.REQUESTS, "zone", "outcome");
    private final Counter groupDowntime = counter(MetricName.GROUP_DOWNTIME, "pool");
    private final Counter strandedAccelerators = counter(MetricName.STRANDED_ACCELERATORS, "pool");
    private final Histogram timeToFirstByte = histogram(MetricName.FIRST_BYTE, FIRST_BYTE_BOUNDS_SECONDS);
    private final Histogram requestDuration = histogram(MetricName.REQUEST_DURATION, REQUEST_BOUNDS_SECONDS);
    private final Histogram tokenGap = histogram(MetricName.TOKEN_GAP, TOKEN_GAP_BOUNDS_SECONDS);
    private final Gauge viewLease = gauge(MetricName.VIEW_LEASE);
    private final Gauge revision = gauge(MetricName.REVISION);
    private final Gauge inFlight = gauge(MetricName.IN_FLIGHT);
    private final Gauge leader = gauge(MetricName.LEADER);

    /** Creates the metrics, with the counters of every reason and cause at zero. */
    public Metrics() {
        for (final ErrorKind kind : ErrorKind.values()) {
            refusals.labelValues(kind.code());
        }
        for (final ClientClosing cause : ClientClosing.values()) {
            clientClosings.labelValues(cause.code());
        }
        for (final CutCause cause : CutCause.values()) {
            cutResponses.labelValues(cause.code());
        }
        for (final ResponseFault fault : ResponseFault.values()) {
            invalidResponses.labelValues(fault.code());
        }
        for (final RetryReason reason : RetryReason.values()) {
            retries.labelValues(reason.code());
        }
        for (final ConnectionOutcome outcome : ConnectionOutcome.values()) {
            endpointConnections.labelValues(outcome.code());
        }
    }

    /** Adds the memory, garbage collector, thread and process metrics of the JVM. Call it at most once. */
    public Metrics withJvmMetrics() {
        JvmMemoryMetrics.builder().register(registry);
        JvmGarbageCollectorMetrics.builder().register(registry);
        JvmThreadsMetrics.builder().register(registry);
        ProcessMetrics.builder().register(registry);
        return this;
    }

    /** Counts one error response. */
    public void countRefusal(ErrorKind kind) {
        refusals.labelValues(kind.code()).inc();
    }

    /** Counts one connection of a client that was closed before its next request was complete. */
    public void countClientClosing(ClientClosing cause) {
        clientClosings.labelValues(cause.code()).inc();
    }

    /** Counts one response that had begun and was ended before it was complete. */
    public void countCutResponse(CutCause cause) {
        cutResponses.labelValues(cause.code()).inc();
    }

    /** Counts one response whose bytes break a rule of HTTP. */
    public void countInvalidResponse(ResponseFault fault) {
        invalidResponses.labelValues(fault.code()).inc();
    }

    /** Counts one request that was retried or resumed. */
    public void countRetry(RetryReason reason) {
        retries.labelValues(reason.code()).inc();
    }

    /** Counts one request that was in flight at an endpoint when its connection failed. */
    public void countLostInFlight() {
        lostInFlight.inc();
    }

    /** Counts reports of lost requests that are given up. */
    public void countLostReportsDropped(int reports) {
        lostReportsDropped.inc(reports);
    }

    /** Counts one attempt to open a connection to an endpoint. */
    public void countEndpointConnection(ConnectionOutcome outcome) {
        endpointConnections.labelValues(outcome.code()).inc();
    }

    /** Counts one request that was sent to another entry VM. */
    public void countRelayed() {
        relayed.inc();
    }

    /** Sets whether this entry VM reaches no endpoint. */
    public void setEndpointLinksCut(boolean cut) {
        endpointLinksCut.set(cut ? 1 : 0);
    }

    /** Records the end of one request; {@code zone} is the endpoint's, or this VM's own if no endpoint was chosen. */
    public void recordRequest(AvailabilityZone zone, RequestOutcome outcome, long durationNanos) {
        requestsByZone.labelValues(zone.value(), outcome.code()).inc();
        requestDuration.observe(durationNanos / NANOS_PER_SECOND);
    }

    /** Records the time from a request's arrival to the first byte of its response. */
    public void recordTimeToFirstByte(long durationNanos) {
        timeToFirstByte.observe(durationNanos / NANOS_PER_SECOND);
    }

    /** Records the time between two consecutive events of a stream. */
    public void recordTokenGap(long sincePreviousNanos) {
        tokenGap.observe(sincePreviousNanos / NANOS_PER_SECOND);
    }

    /** Adds the time that the declared groups of a pool were not serving, summed over the groups. */
    public void addGroupDowntimeMs(PoolName pool, long downtimeMs) {
        groupDowntime.labelValues(pool.value()).inc(downtimeMs / MS_PER_SECOND);
    }

    /** Adds the time that accelerators were held but not serving in a complete group, summed over the accelerators. */
    public void addStrandedAcceleratorMs(PoolName pool, long acceleratorMs) {
        strandedAccelerators.labelValues(pool.value()).inc(acceleratorMs / MS_PER_SECOND);
    }

    /** Sets whether this node holds a valid view lease. */
    public void setViewLease(boolean held) {
        viewLease.set(held ? 1 : 0);
    }

    /** Sets the configuration revision in force on this node. */
    public void setRevision(long revisionInForce) {
        revision.set((double) revisionInForce);
    }

    /** Sets whether this node is the leader of the control VMs. */
    public void setLeader(boolean leads) {
        leader.set(leads ? 1 : 0);
    }

    /** Adds one to the requests in flight; call {@link #decrementInFlight} when the request ends. */
    public void incrementInFlight() {
        inFlight.inc();
    }

    /** Subtracts one request that {@link #incrementInFlight} added. */
    public void decrementInFlight() {
        inFlight.dec();
    }

    /** Returns all metrics in the Prometheus text format. */
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
                .name(name.exposedName())
                .help(name.help())
                .labelNames(labels)
                .withoutExemplars()
                .register(registry);
    }

    private Histogram histogram(MetricName name, double... boundsSeconds) {
        return Histogram.builder()
                .name(name.exposedName())
                .help(name.help())
                .classicOnly()
                .classicUpperBounds(boundsSeconds)
                .withoutExemplars()
                .register(registry);
    }

    private Gauge gauge(MetricName name) {
        return Gauge.builder()
                .name(name.exposedName())
                .help(name.help())
                .withoutExemplars()
                .register(registry);
    }
}

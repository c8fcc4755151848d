package org.wigeongrade.metrics;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.PoolName;

/** Tests that the error kinds, retry reasons and metrics agree with their docs, and that their counters work. */
final class ErrorTableTest {
    private static final Path ERRORS_PAGE = Path.of("docs/ERRORS.md");
    private static final Path CLIENT_LIMITS_PAGE = Path.of("docs/operators/client-limits.md");
    private static final Path INVALID_RESPONSES_PAGE = Path.of("docs/operators/invalid-responses.md");
    private static final Path METRICS_PAGE = Path.of("docs/operators/metrics.md");

    @Test
    void errorsPageListsEveryErrorKind() throws IOException {
        assertThat(rowsOf(ERRORS_PAGE, "\\| `[a-z_]+` \\| \\d{3} \\|.*"))
                .containsExactlyElementsIn(Arrays.stream(ErrorKind.values())
                        .map(ErrorTableTest::row)
                        .toList())
                .inOrder();
    }

    @Test
    void errorsPageListsEveryRetryReason() throws IOException {
        assertThat(rowsOf(ERRORS_PAGE, "\\| `[a-z_]+` \\| [a-z].*"))
                .containsExactlyElementsIn(Arrays.stream(RetryReason.values())
                        .map(reason -> "| `%s` | %s |".formatted(reason.code(), reason.meaning()))
                        .toList())
                .inOrder();
    }

    @Test
    void clientLimitsPageListsEveryCauseOfAClosing() throws IOException {
        assertThat(rowsOf(CLIENT_LIMITS_PAGE, "\\| `[a-z_]+` \\| [a-z].*"))
                .containsExactlyElementsIn(Arrays.stream(ClientClosing.values())
                        .map(cause -> "| `%s` | %s |".formatted(cause.code(), cause.meaning()))
                        .toList())
                .inOrder();
    }

    @Test
    void metricsPageListsEveryCauseOfACutResponse() throws IOException {
        assertThat(rowsOf(METRICS_PAGE, "\\| `[a-z_]+` \\| (?!wigeongrade)[a-z].*"))
                .containsExactlyElementsIn(Arrays.stream(CutCause.values())
                        .map(cause -> "| `%s` | %s |".formatted(cause.code(), cause.meaning()))
                        .toList())
                .inOrder();
    }

    @Test
    void invalidResponsesPageListsEveryRule() throws IOException {
        assertThat(rowsOf(INVALID_RESPONSES_PAGE, "\\| `[a-z_]+` \\| [a-z].*"))
                .containsExactlyElementsIn(Arrays.stream(ResponseFault.values())
                        .map(fault -> "| `%s` | %s |".formatted(fault.code(), fault.rule()))
                        .toList())
                .inOrder();
    }

    @Test
    void metricsPageListsEveryMetric() throws IOException {
        assertThat(rowsOf(METRICS_PAGE, "\\| `wigeongrade_[a-z_]+` \\|.*"))
                .containsExactlyElementsIn(Arrays.stream(MetricName.values())
                        .map(name -> "| `%s` | %s |".formatted(name.exposedName(), name.help()))
                        .toList())
                .inOrder();
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void refusalCounterStartsAtZeroAndCounts(ErrorKind kind) {
        final Metrics metrics = new Metrics();
        final String series = "wigeongrade_refusals_total{reason=\"" + kind.code() + "\"} ";

        assertThat(metrics.render()).contains(series + "0.0\n");
        metrics.countRefusal(kind);

        assertThat(metrics.render()).contains(series + "1.0\n");
    }

    @ParameterizedTest
    @EnumSource(RetryReason.class)
    void retryCounterStartsAtZeroAndCounts(RetryReason reason) {
        final Metrics metrics = new Metrics();
        final String series = "wigeongrade_retries_total{reason=\"" + reason.code() + "\"} ";

        assertThat(metrics.render()).contains(series + "0.0\n");
        metrics.countRetry(reason);

        assertThat(metrics.render()).contains(series + "1.0\n");
    }

    @ParameterizedTest
    @EnumSource(CutCause.class)
    void cutResponseCounterStartsAtZeroAndCounts(CutCause cause) {
        final Metrics metrics = new Metrics();
        final String series = "wigeongrade_responses_cut_total{cause=\"" + cause.code() + "\"} ";

        assertThat(metrics.render()).contains(series + "0.0\n");
        metrics.countCutResponse(cause);

        assertThat(metrics.render()).contains(series + "1.0\n");
    }

    @ParameterizedTest
    @EnumSource(ResponseFault.class)
    void invalidResponseCounterStartsAtZeroAndCounts(ResponseFault fault) {
        final Metrics metrics = new Metrics();
        final String series = "wigeongrade_invalid_responses_total{reason=\"" + fault.code() + "\"} ";

        assertThat(metrics.render()).contains(series + "0.0\n");
        metrics.countInvalidResponse(fault);

        assertThat(metrics.render()).contains(series + "1.0\n");
    }

    @ParameterizedTest
    @EnumSource(ConnectionOutcome.class)
    void connectionCounterStartsAtZeroAndCounts(ConnectionOutcome outcome) {
        final Metrics metrics = new Metrics();
        final String series = "wigeongrade_endpoint_connections_total{outcome=\"" + outcome.code() + "\"} ";

        assertThat(metrics.render()).contains(series + "0.0\n");
        metrics.countEndpointConnection(outcome);

        assertThat(metrics.render()).contains(series + "1.0\n");
    }

    @ParameterizedTest
    @EnumSource(MetricName.class)
    void everySeriesIsExposed(MetricName name) {
        final Metrics metrics = new Metrics();
        metrics.recordRequest(AvailabilityZone.of("zone-a"), RequestOutcome.COMPLETED, 5);
        metrics.addGroupDowntimeMs(PoolName.of("chat"), 1_500);
        metrics.addStrandedAcceleratorMs(PoolName.of("chat"), 1_500);

        assertWithMessage(name.name())
                .that(metrics.render())
                .contains("# HELP " + name.exposedName() + " " + name.help());
    }

    @Test
    void timesAreExposedInSeconds() {
        final Metrics metrics = new Metrics();
        metrics.addGroupDowntimeMs(PoolName.of("chat"), 1_500);
        metrics.recordTimeToFirstByte(50_000_000);

        assertThat(metrics.render()).contains("wigeongrade_group_downtime_seconds_total{pool=\"chat\"} 1.5\n");
        assertThat(metrics.render()).contains("wigeongrade_time_to_first_byte_seconds_sum 0.05\n");
    }

    private static String row(ErrorKind kind) {
        return "| `%s` | %d | %s | %d | %s |"
                .formatted(
                        kind.code(),
                        kind.httpStatus(),
                        kind.runStatus().headerValue(),
                        kind.retryAfterMs(),
                        kind.fix());
    }

    private static List<String> rowsOf(Path page, String pattern) throws IOException {
        return Files.readAllLines(page).stream()
                .filter(line -> line.matches(pattern))
                .toList();
    }
}

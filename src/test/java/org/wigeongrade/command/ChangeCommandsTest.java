package org.wigeongrade.command;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs complete commands against a fake entry VM. */
final class ChangeCommandsTest {
    private static final String ACCEPTED_RESPONSE = "200 {\"revision\":5}";
    private static final String FAULTS_RESPONSE =
            "422 {\"error\":{\"code\":\"invalid_configuration\",\"message\":\"2 faults\","
                    + "\"faults\":[{\"file\":\"body\",\"line\":3,\"object\":\"pool chat\",\"message\":\"no such model version\"},"
                    + "{\"file\":\"body\",\"line\":1,\"object\":\"zone a\",\"message\":\"declared twice\"}]}}";

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void faultsNameFileOfOperator() throws IOException {
        final Path zones = Files.writeString(folder.resolve("zones.toml"), "one\ntwo\n");
        final Path pools = Files.writeString(folder.resolve("pools.toml"), "three\n");

        final ExitCode exitCode =
                run(FAULTS_RESPONSE, "apply", "--base-revision", "4", zones.toString(), pools.toString());

        assertThat(exitCode).isEqualTo(ExitCode.REFUSED);
        assertThat(errors()).contains("  " + pools + ":1: pool chat: no such model version\n");
        assertThat(errors()).contains("  " + zones + ":1: zone a: declared twice\n");
        assertThat(errors()).contains("fix: Correct every listed fault and apply the whole set again.");
    }

    @Test
    void readsEntryVmsFromEnvironment() throws IOException {
        try (FakeEntryVm entry = new FakeEntryVm(ACCEPTED_RESPONSE)) {
            final Map<String, String> environment = Map.of(
                    "WIGEONGRADE_ENTRIES", FakeEntryVm.unreachableAddress() + ", " + entry.address(), "USER", "ann b");

            assertThat(run(environment, List.of("zone", "out", "zone-a", "--change-id", "c-7")))
                    .isEqualTo(ExitCode.OK);
            assertThat(entry.receivedRequests())
                    .containsExactly("POST /v1/operator/zones/zone-a/out?change_id=c-7&operator=ann+b ");
        }
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo("revision  5\n");
        assertThat(errors()).contains("change id c-7");
    }

    @Test
    void escapesSlashInId() throws IOException {
        try (FakeEntryVm entry = new FakeEntryVm("200 {\"decisions\":[]}")) {
            run(
                    Map.of(),
                    List.of("why", "group", "chat/1", "--entry", entry.address().toString()));

            assertThat(entry.receivedRequests()).containsExactly("GET /v1/operator/why/group/chat%2F1 ");
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "5 | 100 | 5 | 100 | OK | is in force on every node",
                "5 | 100 | 4 | 0 | OK | is in force on every node",
                "5 | 100 | 4 | 100 | PENDING | not in force on [entry-2]",
                "4 | 100 | 4 | 100 | PENDING | not in force on [entry-1, entry-2]"
            })
    void waitsForNodesThatMaySendOnOlderRevision(
            int firstRevision, int firstLeaseMs, int secondRevision, int secondLeaseMs, ExitCode expected, String text)
            throws IOException {
        final String status = "200 {\"nodes\":[" + node(1, firstRevision, firstLeaseMs) + ","
                + node(2, secondRevision, secondLeaseMs) + "]}";
        try (FakeEntryVm entry = new FakeEntryVm(ACCEPTED_RESPONSE, status)) {
            final List<String> arguments = ImmutableList.of(
                    "zone",
                    "in",
                    "zone-a",
                    "--wait",
                    "--timeout-ms",
                    "100",
                    "--entry",
                    entry.address().toString());

            assertThat(run(Map.of(), arguments)).isEqualTo(expected);
        }
        assertThat(errors()).contains(text);
    }

    /** Pattern: the first call of a JVM on a busy machine takes longer than the time to wait. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300})
    void shortTimeoutDoesNotCutOffTheResponseToAChange(long responseDelayMs) throws IOException {
        try (FakeEntryVm entry = new FakeEntryVm(responseDelayMs, "200 {\"stopping\":true}")) {
            final List<String> arguments = List.of(
                    "stop", "--timeout-ms", "50", "--entry", entry.address().toString());

            assertThat(run(Map.of(), arguments)).isEqualTo(ExitCode.OK);
        }
    }

    @Test
    void stopWaitsUntilNodeIsUnreachable() throws IOException {
        try (FakeEntryVm entry = new FakeEntryVm("200 {\"stopping\":true}", "503 stopping")) {
            final List<String> arguments = List.of(
                    "stop",
                    "--wait",
                    "--timeout-ms",
                    "50",
                    "--entry",
                    entry.address().toString());

            assertThat(run(Map.of(), arguments)).isEqualTo(ExitCode.PENDING);
        }
        assertThat(errors()).contains("is still completing requests");
    }

    private static String node(int number, int revision, int leaseLeftMs) {
        return "{\"name\":\"entry-%d\",\"revision_in_force\":%d,\"lease_left_ms\":%d}"
                .formatted(number, revision, leaseLeftMs);
    }

    private ExitCode run(String response, String... arguments) throws IOException {
        try (FakeEntryVm entry = new FakeEntryVm(response)) {
            final List<String> allArguments = ImmutableList.<String>builder()
                    .add(arguments)
                    .add("--entry", entry.address().toString())
                    .build();
            return run(Map.of(), allArguments);
        }
    }

    private ExitCode run(Map<String, String> environment, List<String> arguments) {
        return CommandLine.run(
                arguments,
                CommandIo.of(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        environment));
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }
}

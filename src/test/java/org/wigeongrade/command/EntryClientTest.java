package org.wigeongrade.command;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.settings.NodeAddress;

/** Checks operator calls to entry VMs that refuse them, close the connection or cannot be reached. */
final class EntryClientTest {
    private static final long TIMEOUT_MS = 2_000;
    private static final long SHORT_TIMEOUT_MS = 150;
    private static final String CONNECTION_CLOSED = FakeEntryVm.CONNECTION_CLOSED;
    private static final String ACCEPTED = "200 {\"revision\":5}";
    private static final String NO_VIEW_LEASE =
            "503 {\"error\":{\"code\":\"no_view_lease\",\"message\":\"cut off\",\"retry_after_ms\":1}}";
    private static final String OUTCOME_UNKNOWN =
            "502 {\"error\":{\"code\":\"outcome_unknown\",\"message\":\"leader lost\",\"retry_after_ms\":0}}";
    private static final String REVISION_CONFLICT =
            "409 {\"error\":{\"code\":\"revision_conflict\",\"message\":\"revision is 6, by ann\"}}";

    private final List<FakeEntryVm> entryVms = new ArrayList<>();
    private final PrintStream progress = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);

    @AfterEach
    void stopEntries() {
        entryVms.forEach(FakeEntryVm::close);
    }

    @Test
    void triesNextEntryVmIfOneIsUnreachable() throws IOException {
        final EntryClient client = client(TIMEOUT_MS, FakeEntryVm.unreachableAddress(), entry(ACCEPTED));

        assertThat(client.send(change()).get("revision").asInt()).isEqualTo(5);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {CONNECTION_CLOSED, NO_VIEW_LEASE, OUTCOME_UNKNOWN, "200 not json"})
    void sendsSameChangeToNextEntryVm(String firstResponse) throws IOException {
        final EntryClient client = client(TIMEOUT_MS, entry(firstResponse), entry(ACCEPTED));

        assertThat(client.send(change()).get("revision").asInt()).isEqualTo(5);
        final String expectedRequest = "POST /v1/operator/apply?change_id=c-1&base_revision=4 set";
        assertThat(entryVms.get(0).receivedRequests()).containsExactly(expectedRequest);
        assertThat(entryVms.get(1).receivedRequests()).containsExactly(expectedRequest);
    }

    @Test
    void refusalIsNotRetried() throws IOException {
        final EntryClient client = client(TIMEOUT_MS, entry(REVISION_CONFLICT), entry(ACCEPTED));

        final CommandException error = assertThrows(CommandException.class, () -> client.send(change()));

        assertThat(error.exitCode()).isEqualTo(ExitCode.REFUSED);
        assertThat(error.code()).isEqualTo("revision_conflict");
        assertThat(error).hasMessageThat().contains("by ann");
        assertThat(entryVms.get(1).receivedRequests()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                NO_VIEW_LEASE + "|UNREACHABLE",
                CONNECTION_CLOSED + "|OUTCOME_UNKNOWN",
                OUTCOME_UNKNOWN + "|OUTCOME_UNKNOWN"
            })
    void reportsOutcomeAtDeadline(String response, ExitCode expected) throws IOException {
        final EntryClient client = client(SHORT_TIMEOUT_MS, entry(response), FakeEntryVm.unreachableAddress());

        final CommandException error = assertThrows(CommandException.class, () -> client.send(change()));

        assertThat(error.exitCode()).isEqualTo(expected);
    }

    @Test
    void outcomeStaysUnknownIfLaterAttemptIsNotRun() throws IOException {
        final EntryClient client =
                client(SHORT_TIMEOUT_MS, entry(CONNECTION_CLOSED, NO_VIEW_LEASE), entry(NO_VIEW_LEASE));

        final CommandException error = assertThrows(CommandException.class, () -> client.send(change()));

        assertThat(error.exitCode()).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
        assertThat(error.fix()).contains("same --change-id");
    }

    private static OperatorCall change() {
        final Map<String, String> query = new LinkedHashMap<>();
        query.put("change_id", "c-1");
        query.put("base_revision", "4");
        return OperatorCall.post("set", query, "apply");
    }

    private EntryClient client(long timeoutMs, NodeAddress... entries) {
        return new EntryClient(List.of(entries), timeoutMs, progress);
    }

    private NodeAddress entry(String... responses) throws IOException {
        final FakeEntryVm entry = new FakeEntryVm(responses);
        entryVms.add(entry);
        return entry.address();
    }
}

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

/** Operators' calls against entry VMs that refuse, close the connection or cannot be reached. */
final class EntryClientTest {
    private static final long TIMEOUT_MS = 2_000;
    private static final long SHORT_TIMEOUT_MS = 150;
    private static final String LOST = FakeEntry.LOST;
    private static final String OK = "200 {\"revision\":5}";
    private static final String CUT_OFF =
            "503 {\"error\":{\"code\":\"no_view_lease\",\"message\":\"cut off\",\"retry_after_ms\":1}}";
    private static final String UNSURE =
            "502 {\"error\":{\"code\":\"outcome_unknown\",\"message\":\"leader lost\",\"retry_after_ms\":0}}";
    private static final String CONFLICT =
            "409 {\"error\":{\"code\":\"revision_conflict\",\"message\":\"revision is 6, by ann\"}}";

    private final List<FakeEntry> started = new ArrayList<>();
    private final PrintStream progress = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);

    @AfterEach
    void stopEntries() {
        started.forEach(FakeEntry::close);
    }

    @Test
    void nextEntryIsTriedIfOneCannotBeReached() throws IOException {
        final EntryClient client = client(TIMEOUT_MS, FakeEntry.unreachable(), entry(OK));

        assertThat(client.send(change()).get("revision").asInt()).isEqualTo(5);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {LOST, CUT_OFF, UNSURE, "200 not json"})
    void sameChangeGoesToTheNextEntry(String firstAnswer) throws IOException {
        final EntryClient client = client(TIMEOUT_MS, entry(firstAnswer), entry(OK));

        assertThat(client.send(change()).get("revision").asInt()).isEqualTo(5);
        final String sent = "POST /v1/operator/apply?change_id=c-1&base_revision=4 set";
        assertThat(started.get(0).received()).containsExactly(sent);
        assertThat(started.get(1).received()).containsExactly(sent);
    }

    @Test
    void refusalEndsTheCall() throws IOException {
        final EntryClient client = client(TIMEOUT_MS, entry(CONFLICT), entry(OK));

        final CommandException error = assertThrows(CommandException.class, () -> client.send(change()));

        assertThat(error.exitCode()).isEqualTo(ExitCode.REFUSED);
        assertThat(error.code()).isEqualTo("revision_conflict");
        assertThat(error).hasMessageThat().contains("by ann");
        assertThat(started.get(1).received()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {CUT_OFF + "|UNREACHABLE", LOST + "|OUTCOME_UNKNOWN", UNSURE + "|OUTCOME_UNKNOWN"})
    void deadlineEndsTheCall(String answer, ExitCode expected) throws IOException {
        final EntryClient client = client(SHORT_TIMEOUT_MS, entry(answer), FakeEntry.unreachable());

        final CommandException error = assertThrows(CommandException.class, () -> client.send(change()));

        assertThat(error.exitCode()).isEqualTo(expected);
    }

    @Test
    void lostAnswerThenNotRunIsStillUnknown() throws IOException {
        final EntryClient client = client(SHORT_TIMEOUT_MS, entry(LOST, CUT_OFF), entry(CUT_OFF));

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

    private NodeAddress entry(String... answers) throws IOException {
        final FakeEntry entry = new FakeEntry(answers);
        started.add(entry);
        return entry.address();
    }
}

package org.wigeongrade.command;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
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
    private static final String LOST = "lost";
    private static final String OK = "200 {\"revision\":5}";
    private static final String CUT_OFF =
            "503 {\"error\":{\"code\":\"no_view_lease\",\"message\":\"cut off\",\"retry_after_ms\":1}}";
    private static final String UNSURE =
            "502 {\"error\":{\"code\":\"outcome_unknown\",\"message\":\"leader lost\",\"retry_after_ms\":0}}";
    private static final String CONFLICT =
            "409 {\"error\":{\"code\":\"revision_conflict\",\"message\":\"revision is 6, by ann\"}}";

    private final List<HttpServer> servers = new ArrayList<>();
    private final List<String> received = Collections.synchronizedList(new ArrayList<>());
    private final PrintStream progress = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);

    @AfterEach
    void stopServers() {
        servers.forEach(server -> server.stop(0));
    }

    @Test
    void nextEntryIsTriedIfOneCannotBeReached() throws IOException {
        final EntryClient client = client(TIMEOUT_MS, unreachable(), entry(OK));

        assertThat(client.send(change()).get("revision").asInt()).isEqualTo(5);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {LOST, CUT_OFF, UNSURE, "200 not json"})
    void sameChangeGoesToTheNextEntry(String firstAnswer) throws IOException {
        final EntryClient client = client(TIMEOUT_MS, entry(firstAnswer), entry(OK));

        assertThat(client.send(change()).get("revision").asInt()).isEqualTo(5);
        assertThat(received)
                .containsExactly(
                        "POST /v1/operator/apply?change_id=c-1&base_revision=4 set",
                        "POST /v1/operator/apply?change_id=c-1&base_revision=4 set");
    }

    @Test
    void refusalEndsTheCall() throws IOException {
        final EntryClient client = client(TIMEOUT_MS, entry(CONFLICT), entry(OK));

        final CommandException error = assertThrows(CommandException.class, () -> client.send(change()));

        assertThat(error.exitCode()).isEqualTo(ExitCode.REFUSED);
        assertThat(error.code()).isEqualTo("revision_conflict");
        assertThat(error).hasMessageThat().contains("by ann");
        assertThat(received).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {CUT_OFF + "|UNREACHABLE", LOST + "|OUTCOME_UNKNOWN", UNSURE + "|OUTCOME_UNKNOWN"})
    void deadlineEndsTheCall(String answer, ExitCode expected) throws IOException {
        final EntryClient client = client(SHORT_TIMEOUT_MS, entry(answer), unreachable());

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

    /** Starts an entry VM that gives the answers in turn and the last one for good. */
    private NodeAddress entry(String... answers) throws IOException {
        final Deque<String> left = new ArrayDeque<>(List.of(answers));
        final HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> answer(exchange, left.size() > 1 ? left.remove() : left.peek()));
        server.start();
        servers.add(server);
        return new NodeAddress("127.0.0.1", server.getAddress().getPort());
    }

    private void answer(HttpExchange exchange, String answer) throws IOException {
        final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        received.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body);
        if (answer.equals(LOST)) {
            exchange.close();
            return;
        }
        final byte[] bytes = answer.substring(4).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(Integer.parseInt(answer.substring(0, 3)), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static NodeAddress unreachable() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new NodeAddress("127.0.0.1", socket.getLocalPort());
        }
    }
}

package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wigeongrade.proof.Await;

/**
 * A client that sends requests over one connection at a time, each request once, and checks the outcomes.
 *
 * <p>Not thread safe; runs on a single thread.
 */
final class SoakClient implements Runnable {
    private static final int READ_TIMEOUT_MS = 6_000;
    private static final int OK = 200;

    private final int index;
    private final SoakAddresses addresses;
    private final GuaranteeChecker guarantees;
    private final SoakOperator operator;
    private final AtomicBoolean stopped;
    private final Random random;
    private int requests;

    SoakClient(
            int index,
            SoakAddresses addresses,
            GuaranteeChecker guarantees,
            SoakOperator operator,
            AtomicBoolean stopped,
            Random random) {
        this.index = index;
        this.addresses = addresses;
        this.guarantees = guarantees;
        this.operator = operator;
        this.stopped = stopped;
        this.random = random;
    }

    @Override
    public void run() {
        while (!stopped.get()) {
            final String entry = addresses.entryIp(random.nextInt(addresses.entries()));
            try (HttpConnection connection =
                    new HttpConnection(SoakAddresses.address(entry, addresses.callerPort()), READ_TIMEOUT_MS)) {
                while (connection.isOpen() && !stopped.get()) {
                    call(connection);
                    Await.sleepMs(random.nextInt(30));
                }
            } catch (IOException e) {
                guarantees.recordIncompleteAnswer();
                Await.sleepMs(50);
            }
        }
    }

    private void call(HttpConnection connection) throws IOException {
        final String kind = switch (random.nextInt(6)) {
            case 0, 1 -> "gen";
            case 2, 3 -> "charge";
            case 4 -> "read";
            default -> "move";
        };
        final boolean asGuest = random.nextInt(5) == 0;
        final String attempt = "c" + index + "-" + ++requests;
        final Map<String, String> headers = new HashMap<>(Map.of(
                "Host",
                "soak.example",
                "X-Attempt-Id",
                attempt,
                "X-Deadline-Ms",
                "4000",
                "X-Credential",
                asGuest ? "key-guest" : "key-shop"));
        if (kind.equals("gen")) {
            headers.put("X-Model", "large");
            headers.put("X-Token-Count", "100,60");
            headers.put("X-Prompt-Prefix", "ab:100");
        }
        guarantees.recordSent(attempt);
        final HttpConnection.Answer answer = connection.call("POST", "/" + kind + "/" + attempt, headers, attempt);
        guarantees.recordAnswer(attempt, answer, !kind.equals("charge"));
        check(attempt, kind, asGuest, answer);
    }

    private void check(String attempt, String kind, boolean asGuest, HttpConnection.Answer answer) {
        if (answer.status() == OK) {
            final String expected = kind.equals("gen")
                    ? FakeEndpointVm.expectedStream()
                    : "ran " + attempt + " /" + kind + "/" + attempt + " " + attempt;
            if (!answer.body().equals(expected)) {
                guarantees.reportViolation("each answer is complete", attempt + " got: " + answer.body());
            }
            if (!("seal-" + attempt).equals(answer.headers().get("x-server-seal"))) {
                guarantees.reportViolation("an answer keeps its signature", attempt + " got " + answer.headers());
            }
        }
        final boolean denied = answer.status() == 401 || answer.status() == 403 || answer.status() == 404;
        if (denied && !(asGuest && operator.isRevocationSent())) {
            guarantees.reportViolation(
                    "an allowed request is not denied", attempt + " /" + kind + "/ got " + answer.status());
        }
    }
}

package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wigeongrade.proof.Await;

/**
 * A client with one connection, which it uses until it ends. Each request is sent once; its outcome is checked.
 *
 * <p>Not thread safe; one thread runs it.
 */
final class SoakClient implements Runnable {
    private static final int READ_TIMEOUT_MS = 6_000;
    private static final int FOUND = 200;

    private final int index;
    private final SoakAddresses addresses;
    private final Promises promises;
    private final SoakOperator operator;
    private final AtomicBoolean stopped;
    private final Random random;
    private int requests;

    SoakClient(
            int index,
            SoakAddresses addresses,
            Promises promises,
            SoakOperator operator,
            AtomicBoolean stopped,
            Random random) {
        this.index = index;
        this.addresses = addresses;
        this.promises = promises;
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
                promises.brokenOff();
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
        promises.sent(attempt);
        final HttpConnection.Answer answer = connection.call("POST", "/" + kind + "/" + attempt, headers, attempt);
        promises.answered(attempt, answer, !kind.equals("charge"));
        check(attempt, kind, asGuest, answer);
    }

    private void check(String attempt, String kind, boolean asGuest, HttpConnection.Answer answer) {
        if (answer.status() == FOUND) {
            final String whole = kind.equals("gen")
                    ? StandinVm.wholeStream()
                    : "ran " + attempt + " /" + kind + "/" + attempt + " " + attempt;
            if (!answer.body().equals(whole)) {
                promises.violated("each answer is whole", attempt + " got: " + answer.body());
            }
            if (!("seal-" + attempt).equals(answer.headers().get("x-server-seal"))) {
                promises.violated("an answer keeps its signature", attempt + " got " + answer.headers());
            }
        }
        final boolean denied = answer.status() == 401 || answer.status() == 403 || answer.status() == 404;
        if (denied && !(asGuest && operator.isRevocationSent())) {
            promises.violated("what is allowed is not denied", attempt + " /" + kind + "/ got " + answer.status());
        }
    }
}

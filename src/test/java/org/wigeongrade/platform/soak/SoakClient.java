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
    /** Every so many requests, one asks for a stream of some seconds if it asks for a stream. */
    private static final int LONG_STREAM_EVERY = 3;

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
            final int entryIndex = random.nextInt(addresses.entries());
            final String entry = addresses.entryIp(entryIndex);
            try (HttpConnection connection =
                    new HttpConnection(SoakAddresses.address(entry, addresses.callerPort()), READ_TIMEOUT_MS)) {
                while (connection.isOpen() && !stopped.get()) {
                    call(connection, entryIndex);
                    Await.sleepMs(random.nextInt(30));
                }
            } catch (IOException e) {
                guarantees.recordUnansweredCall();
                Await.sleepMs(50);
            }
        }
    }

    private void call(HttpConnection connection, int entry) throws IOException {
        final String kind = switch (random.nextInt(6)) {
            case 0, 1 -> "gen";
            case 2, 3 -> "charge";
            case 4 -> "read";
            default -> "move";
        };
        final boolean asGuest = random.nextInt(5) == 0;
        final String id = SendRestrictionChecker.attemptPrefix(entry) + "c" + index + "-" + ++requests;
        final boolean isLong = kind.equals("gen") && requests % LONG_STREAM_EVERY == 0;
        final String attempt = isLong ? FakeEndpointVm.longStream(id) : id;
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
            headers.put("X-Model", random.nextInt(3) == 0 ? "huge" : "large");
            headers.put("X-Token-Count", "100,60");
            headers.put("X-Prompt-Prefix", "ab:100");
        }
        guarantees.recordSent(attempt);
        final HttpConnection.Response response;
        try {
            response = connection.call("POST", "/" + kind + "/" + attempt, headers, attempt);
        } catch (IOException e) {
            if (!connection.hasResponseBegun()) {
                throw e;
            }
            guarantees.cutResponses().recordCut(attempt, entry, e.toString());
            return;
        }
        guarantees.recordResponse(attempt, response, !kind.equals("charge"));
        check(attempt, kind, asGuest, response);
    }

    private void check(String attempt, String kind, boolean asGuest, HttpConnection.Response response) {
        if (response.status() == OK) {
            final String expected = kind.equals("gen")
                    ? FakeEndpointVm.expectedStream(attempt)
                    : "ran " + attempt + " /" + kind + "/" + attempt + " " + attempt;
            if (!response.body().equals(expected)) {
                guarantees.reportViolation("each response is complete", attempt + " got: " + response.body());
            }
            if (!("seal-" + attempt).equals(response.headers().get("x-server-seal"))) {
                guarantees.reportViolation("a response keeps its signature", attempt + " got " + response.headers());
            }
        }
        final boolean denied = response.status() == 401 || response.status() == 403 || response.status() == 404;
        if (denied && !(asGuest && operator.isRevocationSent())) {
            guarantees.reportViolation(
                    "an allowed request is not denied", attempt + " /" + kind + "/ got " + response.status());
        }
    }
}

package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * An entry node gets SIGTERM while a stream is running. The requester then sends its next request on the same
 * connection, which the node did not announce to close. The node must not cut that request.
 */
final class StreamThenStop extends Case {
    private static final int EVENTS = 27;
    private static final long PAUSE_MS = 180;
    private static final long STOP_AFTER_MS = 1_000;

    private boolean held = true;

    public static void main(String[] args) throws IOException {
        main(new StreamThenStop());
    }

    @Override
    boolean run() throws Exception {
        try (Fleet fleet = new Fleet(3, 1, 1)) {
            fleet.start();
            fleet.publish(ModelReplica.route("/explain/", "desk", 8000), ModelReplica.service("desk", 2));
            try (Replica first = replica(fleet, 1);
                    Replica second = replica(fleet, 2)) {
                fleet.awaitReady();
                await("a request is served", 30_000, () -> warmUp(fleet));
                sleepMs(1_000);
                try (Http.Connection caller = new Http.Connection(fleet.entryIp(0), fleet.callerPort())) {
                    send(caller, "s-1");
                    sleepMs(STOP_AFTER_MS);
                    if (trouble) {
                        fleet.signalEntry(0, "TERM");
                    }
                    final Optional<Http.Message> firstAnswer = receive(caller, "s-1");
                    if (firstAnswer.isEmpty() || !firstAnswer.get().complete()) {
                        throw new IllegalStateException("the first stream was not complete");
                    }
                    final boolean announced = firstAnswer.get().header("connection").filter("close"::equalsIgnoreCase).isPresent();
                    note("the head of s-1 " + (announced ? "announced" : "did not announce") + " that the connection closes");
                    if (announced) {
                        return true;
                    }
                    check(caller, "s-2");
                }
            }
        }
        return held;
    }

    private Replica replica(Fleet fleet, int number) throws IOException {
        return new ModelReplica(
                        fleet, "i-" + number, "desk", fleet.replicaIp(number), fleet.replicaPort(), this::answer)
                .start();
    }

    private static boolean warmUp(Fleet fleet) {
        try (Http.Connection caller = new Http.Connection(fleet.entryIp(0), fleet.callerPort())) {
            send(caller, "w-" + System.nanoTime());
            return receive(caller, "w").filter(Http.Message::complete).filter(answer -> answer.status() == 200).isPresent();
        } catch (IOException e) {
            return false;
        }
    }

    private void check(Http.Connection caller, String attempt) throws IOException {
        try {
            send(caller, attempt);
        } catch (IOException e) {
            note("the connection was closed before " + attempt + " was sent");
            return;
        }
        final Optional<Http.Message> answer = receive(caller, attempt);
        final boolean complete = answer.filter(Http.Message::complete).isPresent();
        final boolean passedOn = passedOnAttempt.equals(attempt);
        if (passedOn && !complete) {
            note("BROKEN the node passed " + attempt + " on to the replica, and the connection ended without a complete"
                    + " answer");
            held = false;
        }
    }

    private volatile String passedOnAttempt = "";

    private boolean answer(Replica replica, Http.Message request, OutputStream out) throws IOException {
        final String attempt = request.header("x-attempt-id").orElse("-");
        passedOnAttempt = attempt;
        note("replica runs " + attempt + ", deadline in " + request.header("x-deadline-ms").orElse("-") + " ms");
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\n" + Replica.seal(request, replica.id)
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        int event = 1;
        try {
            for (; event <= EVENTS; event++) {
                sleepMs(PAUSE_MS);
                final String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
            note("replica has made all events of " + attempt);
        } catch (IOException e) {
            note("replica was cut off at event " + event + " of " + attempt);
            return false;
        }
        return true;
    }

    private static void send(Http.Connection caller, String attempt) throws IOException {
        caller.send(
                "POST /explain/" + attempt + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt
                        + "\r\nX-Model: " + ModelReplica.MODEL + "\r\nX-Token-Count: 600,135\r\nX-Prompt-Prefix: 5c1e07a2:40,"
                        + Integer.toHexString(attempt.hashCode()) + ":560\r\nX-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\n",
                "{}".getBytes(StandardCharsets.UTF_8));
        note("requester sent " + attempt);
    }

    private static Optional<Http.Message> receive(Http.Connection caller, String attempt) throws IOException {
        final Optional<Http.Message> answer = caller.receive();
        note("requester got for " + attempt + ": "
                + answer.map(message -> message.startLine() + ", " + message.text().split("\n\n").length + " events, "
                                + (message.complete() ? "complete" : "the connection ended within it"))
                        .orElse("the connection ended without an answer"));
        return answer;
    }
}

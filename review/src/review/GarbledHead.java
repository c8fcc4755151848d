package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One of two replicas sends additional bytes after a few of its complete responses: the beginning of a head. Some later
 * requests fail at that replica. A requester must never get a success where the replica answered with a failure.
 */
final class GarbledHead extends Case {
    private static final String EXTRA = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    /** One response in so many is followed by additional bytes: 1 in 40 is less than 3 in 100. */
    private static final int GARBLED_OF = 40;

    private static final long FOR_MS = 5_000;
    private static final long INTERVAL_MS = 8;

    /** What a replica answered to an attempt, with its seal. */
    private record Run(int status, String body) {}

    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private volatile boolean checking;
    /** The one of the two replicas that is faulty: the first to be used. */
    private String faulty = "";
    private int answers;
    private int garbled;
    private int failures;

    public static void main(String[] args) throws IOException {
        main(new GarbledHead());
    }

    @Override
    boolean run() throws Exception {
        try (Fleet fleet = new Fleet(3, 1, 1)) {
            fleet.start();
            fleet.publish("""
                    {"name":"r-lookup","hostname":"desk.example","pathPrefix":"/loan/","kind":"idempotent","timeoutMs":1500,
                    "targetLatencyMs":193,"priority":2,"service":"ledger","maxAttempts":2,"anonymous":true}""", Fleet.plainService("ledger"));
            try (Replica first = replica(fleet, 1);
                    Replica second = replica(fleet, 2)) {
                fleet.awaitReady();
                try (Http.Connection caller = new Http.Connection(fleet.entryIp(0), fleet.callerPort())) {
                    await("a request is served", 20_000, () -> send(caller, "warm-" + System.nanoTime())
                            .filter(answer -> answer.status() == 200)
                            .isPresent());
                    sleepMs(3_000);
                    return check(caller);
                }
            }
        }
    }

    private Replica replica(Fleet fleet, int number) throws IOException {
        return new Replica(
                        fleet, "i-" + number, "ledger", fleet.replicaIp(number), fleet.replicaPort(), this::answer)
                .start();
    }

    private boolean check(Http.Connection caller) {
        final long endNanos = System.nanoTime() + FOR_MS * 1_000_000;
        checking = true;
        int sent = 0;
        int broken = 0;
        while (System.nanoTime() - endNanos < 0) {
            final String attempt = "a-" + ++sent;
            final Optional<Http.Message> answer = send(caller, attempt);
            if (answer.isEmpty()) {
                throw new IllegalStateException("the connection ended");
            }
            final boolean success = answer.get().status() / 100 == 2;
            final String seal = answer.get().header("x-server-seal").orElse("none");
            final Run run = runs.get(seal);
            final boolean true2xx = run != null && run.status() / 100 == 2 && run.body().equals(answer.get().text());
            if (success && !true2xx) {
                note("BROKEN requester got " + answer.get().startLine() + " for " + attempt + " with seal " + seal
                        + " and body \"" + answer.get().text().strip() + "\", where the replica had answered "
                        + (run == null ? "nothing" : "" + run.status()));
                broken++;
            }
            sleepMs(INTERVAL_MS);
        }
        checking = false;
        note(sent + " requests; the faulty replica gave " + answers + " answers, " + failures + " of them failures, and "
                + garbled + " times sent additional bytes; false successes: " + broken);
        return broken == 0;
    }

    private synchronized boolean answer(Replica replica, Http.Message request, OutputStream out) throws IOException {
        if (checking && faulty.isEmpty()) {
            faulty = replica.id;
        }
        final boolean counts = checking && replica.id.equals(faulty);
        final int number = counts ? ++answers : 0;
        final boolean garbles = trouble && counts && number % GARBLED_OF == 0;
        final boolean fails = number > 1 && number % GARBLED_OF == 1;
        final Run run = new Run(fails ? 500 : 200, fails ? "the ledger failed\n" : "loan of " + request.target() + "\n");
        runs.put(Replica.sealOf(request.header("x-attempt-id").orElse("-"), replica.id), run);
        out.write((Replica.response(run.status(), request, Replica.seal(request, replica.id), run.body())
                        + (garbles ? EXTRA : ""))
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
        garbled += garbles ? 1 : 0;
        failures += fails ? 1 : 0;
        if (garbles || fails) {
            note("replica " + replica.id + " answered " + run.status() + " to " + request.header("x-attempt-id").orElse("-")
                    + (garbles ? " and sent the beginning of a head after it" : ""));
        }
        return true;
    }

    private static Optional<Http.Message> send(Http.Connection caller, String attempt) {
        try {
            caller.send(
                    "GET /loan/" + attempt + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Deadline-Ms: 1500\r\n\r\n",
                    new byte[0]);
            return caller.receive();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

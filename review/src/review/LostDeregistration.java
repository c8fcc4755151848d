package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A replica that never reports that it drains deregisters, a control node acknowledges it and is killed right after.
 * Later than drainMs after the acknowledgement, once the machines are in touch again, no request may reach the replica.
 */
final class LostDeregistration extends Case {
    private static final long CONTACT_MS = 3_000;
    private static final int REQUESTS = 8;

    private final Map<String, String> ranAt = new ConcurrentHashMap<>();

    public static void main(String[] args) throws IOException {
        main(new LostDeregistration());
    }

    @Override
    boolean run() throws Exception {
        try (Fleet fleet = new Fleet(5, 2, 2)) {
            fleet.start();
            fleet.publish("""
                    {"name":"r-charge","hostname":"desk.example","pathPrefix":"/charge/","kind":"non_idempotent",
                    "timeoutMs":1500,"targetLatencyMs":193,"priority":2,"service":"ledger","maxAttempts":2,"anonymous":true}""", Fleet.plainService("ledger"));
            try (Replica leaving = replica(fleet, 1);
                    Replica second = replica(fleet, 2);
                    Replica third = replica(fleet, 3)) {
                fleet.awaitReady();
                await("every replica is used", 20_000, () -> {
                    charge(fleet, 0, "w-" + System.nanoTime());
                    charge(fleet, 1, "w-" + System.nanoTime());
                    return ranAt.values().stream().distinct().count() == 3;
                });
                sleepMs(6_000);
                return check(fleet, leaving);
            }
        }
    }

    private boolean check(Fleet fleet, Replica leaving) throws Exception {
        final int control = leaving.deregister();
        final long ackNanos = System.nanoTime();
        if (control < 0) {
            throw new IllegalStateException("no control node acknowledged");
        }
        if (trouble) {
            fleet.signalControl(control, "KILL");
        }
        note("control-" + control + " has acknowledged that " + leaving.id + " is gone");
        sleepMs(CONTACT_MS + 150 - (System.nanoTime() - ackNanos) / 1_000_000);
        boolean held = true;
        for (int number = 0; number < REQUESTS; number++) {
            final String attempt = "c-" + number;
            note("requester sent " + attempt + " and got " + charge(fleet, number % 2, attempt) + "; it ran at "
                    + ranAt.getOrDefault(attempt, "no replica"));
            if (leaving.id.equals(ranAt.get(attempt))) {
                note("BROKEN " + attempt + " reached " + leaving.id + " "
                        + (System.nanoTime() - ackNanos) / 1_000_000 + " ms after the acknowledgement");
                held = false;
            }
        }
        return held;
    }

    private Replica replica(Fleet fleet, int number) throws IOException {
        return new Replica(
                fleet, "i-" + number, "ledger", fleet.replicaIp(number), fleet.replicaPort(), this::answer)
                .start();
    }

    private boolean answer(Replica replica, Http.Message request, OutputStream out) throws IOException {
        ranAt.put(request.header("x-attempt-id").orElse("-"), replica.id);
        sleepMs(30);
        Replica.write(
                out,
                200,
                request,
                Replica.seal(request, replica.id) + (replica.isLeaving() ? "Server-Leaving: 1\r\n" : ""),
                "charged\n");
        return true;
    }

    private static int charge(Fleet fleet, int entry, String attempt) {
        try (Http.Connection caller = new Http.Connection(fleet.entryIp(entry), fleet.callerPort())) {
            caller.send(
                    "POST /charge/" + attempt + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n",
                    new byte[0]);
            final Optional<Http.Message> answer = caller.receive();
            return answer.map(Http.Message::status).orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}

package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of a prompt crashes each replica that begins to write an answer on it. The replicas end each answer with its
 * connection. Sound requests with the same first part must begin at least half as often as before.
 */
final class UnsizedAnswers extends Case {
    private static final int REPLICAS = 10;
    private static final String FIRST_PART = "5c1e07a2:40";
    private static final String CRASHING_PART = "bad0bad0:500";
    private static final int EVENTS = 5;
    private static final long EVENT_MS = 20;
    private static final long BACK_AFTER_MS = 2_000;
    private static final long CONTACT_MS = 3_000;
    /** The rule counts from this crash, or from the last one if there are fewer. */
    private static final int COUNTED_CRASHES = 5;

    private static final long CRASHES_WITHIN_MS = 10_000;
    private static final long SOUND_INTERVAL_MS = 100;
    private static final long CRASHING_INTERVAL_MS = 1_000;
    private static final long BEFORE_MS = 6_000;
    private static final long AFTER_MS = 20_000;

    private final Map<String, Boolean> began = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger lives = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();
    private Fleet fleet;

    public static void main(String[] args) throws IOException {
        main(new UnsizedAnswers());
    }

    @Override
    boolean run() throws Exception {
        try (Fleet started = new Fleet(3, 2, 1)) {
            fleet = started;
            fleet.start();
            fleet.publish(ModelReplica.route("/explain/", "desk", 6000), ModelReplica.service("desk", 1));
            for (int number = 0; number < REPLICAS; number++) {
                startReplica(number);
            }
            fleet.awaitReady();
            await("a request is served", 30_000, () -> sound() == 200);
            sleepMs(5_000);
            return check();
        } finally {
            ended.set(true);
        }
    }

    private boolean check() {
        final double before = shareBegun("before the crashes", BEFORE_MS);
        if (trouble) {
            daemon("crashing requests", () -> {
                while (!ended.get()) {
                    daemon("crashing request", () -> {
                        final String attempt = "x-" + sent.incrementAndGet();
                        note("requester sent " + attempt + " with the crashing part and got " + send(attempt, CRASHING_PART));
                    });
                    sleepMs(CRASHING_INTERVAL_MS);
                }
            });
            for (int waitedMs = 0; waitedMs < CRASHES_WITHIN_MS && crashes.get() < COUNTED_CRASHES; waitedMs += 100) {
                sleepMs(100);
            }
            note(crashes.get() + " replicas have crashed");
            shareBegun("in the 2 x contactMs after the fifth crash, or the last", 2 * CONTACT_MS);
        }
        final double after = shareBegun("from 2 x contactMs after that crash", AFTER_MS);
        note(crashes.get() + " crashes in all");
        final boolean held = after >= before / 2;
        if (!held) {
            note("BROKEN sound requests begin less than half as often as before");
        }
        return held;
    }

    /** Sends sound requests for a time; returns the share that began to run at the first attempt. */
    private double shareBegun(String when, long forMs) {
        final long endNanos = System.nanoTime() + forMs * 1_000_000;
        final AtomicInteger requests = new AtomicInteger();
        final AtomicInteger begun = new AtomicInteger();
        final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        while (System.nanoTime() - endNanos < 0) {
            daemon("sound request", () -> {
                final String attempt = "s-" + sent.incrementAndGet();
                statuses.merge(send(attempt, "2" + attempt.substring(2) + ":500"), 1, Integer::sum);
                requests.incrementAndGet();
                if (began.containsKey(attempt)) {
                    begun.incrementAndGet();
                }
            });
            sleepMs(SOUND_INTERVAL_MS);
        }
        sleepMs(500);
        note(when + ": " + begun + " of " + requests + " sound requests began, by status " + statuses);
        return (double) begun.get() / Math.max(1, requests.get());
    }

    private int sound() {
        return send("w-" + sent.incrementAndGet(), "7:500");
    }

    private int send(String attempt, String secondPart) {
        try (Http.Connection caller =
                new Http.Connection(fleet.entryIp(sent.get() % 2), fleet.callerPort())) {
            caller.send(
                    "POST /explain/" + attempt + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Model: " + ModelReplica.MODEL + "\r\nX-Token-Count: 600,25\r\nX-Prompt-Prefix: "
                            + FIRST_PART + "," + secondPart + "," + Integer.toHexString(attempt.hashCode()) + ":60"
                            + "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\n",
                    "{}".getBytes(StandardCharsets.UTF_8));
            final Optional<Http.Message> answer = caller.receive();
            return answer.filter(Http.Message::complete).map(Http.Message::status).orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    private void startReplica(int number) {
        try {
            new ModelReplica(
                            fleet,
                            "i-" + lives.incrementAndGet(),
                            "desk",
                            fleet.replicaIp(number),
                            fleet.replicaPort(),
                            (replica, request, out) -> answer(number, replica, request, out))
                    .start();
        } catch (IOException e) {
            note("replica " + number + " does not start: " + e);
        }
    }

    /** Writes a stream that ends with its connection, or crashes within its first event. */
    private boolean answer(int number, Replica replica, Http.Message request, OutputStream out) throws IOException {
        final boolean crashing = request.header("x-prompt-prefix").orElse("").contains(CRASHING_PART);
        began.put(request.header("x-attempt-id").orElse("-"), true);
        sleepMs(30);
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id").orElse("-") + "\r\n"
                        + Replica.seal(request, replica.id)
                        + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        if (crashing) {
            out.write("id: 1\nda".getBytes(StandardCharsets.UTF_8));
            out.flush();
            note("replica " + replica.id + " crashes, number " + crashes.incrementAndGet());
            replica.crash();
            daemon("restart", () -> {
                sleepMs(BACK_AFTER_MS);
                if (!ended.get()) {
                    startReplica(number);
                }
            });
            return false;
        }
        for (int event = 1; event <= EVENTS; event++) {
            sleepMs(EVENT_MS);
            out.write(("id: " + event + "\ndata: piece " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        return false;
    }
}

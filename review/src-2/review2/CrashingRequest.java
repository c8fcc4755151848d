package review2;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A request crashes each replica that begins to run it, and comes again. Meanwhile the process of the leading control
 * node is killed four times, each time with the core stable again before the next retry. Later than contactMs after the third crash, no more than three retries may reach replicas.
 */
public final class CrashingRequest {
    private static final int REPLICAS = 6;
    private static final int CONTACT_MS = 3_000;
    private static final int BACK_AFTER_MS = 3_000;
    private static final int KILLS = 4;
    private static final String CRASHING_PATH = "/lookup/crashing";
    private static final String ROUTE = "{\"name\":\"r-%s\",\"hostname\":\"" + Requester.HOST
            + "\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\",\"timeoutMs\":1500,\"targetLatencyMs\":193,\"priority\":2,"
            + "\"service\":\"ledger\",\"maxAttempts\":2,\"anonymous\":true}";
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
            + String.format(ROUTE, "lookup", "lookup", "idempotent") + ","
            + String.format(ROUTE, "charge", "charge", "non_idempotent") + "],"
            + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\",\"maxConnections\":49,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldStartS\":0.0,\"coldRateS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    private final CaseRecord record;
    private final Fleet fleet;
    private final AtomicInteger nextReplica = new AtomicInteger();
    private final List<Replica> replicas = new CopyOnWriteArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger lateRetries = new AtomicInteger();
    private final AtomicLong thirdCrashNanos = new AtomicLong();
    /** When a control node was killed or started last. */
    private final AtomicLong coreChangedNanos = new AtomicLong(System.nanoTime());
    /** When each attempt was sent by the requester. */
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lostCharges = new AtomicInteger();
    private volatile boolean stopped;

    private CrashingRequest(CaseRecord record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoIfMainFails();
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0], "record.txt"));
                Fleet fleet = new Fleet(3, 1, 1, record)) {
            status = new CrashingRequest(record, fleet).run(trouble);
            record.line(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "could not run");
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        fleet.publishAndAwaitReady(CONFIGURATION);
        for (int number = 0; number < REPLICAS; number++) {
            startReplica();
        }
        Thread.sleep(5_000);
        for (int requester = 0; requester < 6; requester++) {
            final int number = requester;
            final Thread thread = new Thread(() -> charge(number));
            thread.setDaemon(true);
            thread.start();
        }
        sendFor(4_000);
        for (int kill = 0; kill < KILLS; kill++) {
            if (trouble) {
                killLeader();
            }
            Thread.sleep(1_000);
            if (trouble) {
                restartEnded();
            }
            // The core is stable again, and the entry node in touch, contactMs after its last change.
            Thread.sleep(CONTACT_MS + 1_500);
            sendFor(4_000);
        }
        stopped = true;
        int served = 0;
        for (int number = 0; number < 20; number++) {
            served += "200 complete".equals(request("GET", "/lookup/sound-" + number, "sound-" + number)) ? 1 : 0;
        }
        record.line(crashes + " replicas crashed; " + lateRetries + " retries reached replicas later than "
                + CONTACT_MS + " ms after the third crash, sent by a machine in touch; "
                + lostCharges + " sound charges that had begun to run there got no answer of their replica; " + served
                + " of 20 sound requests were served at the end");
        for (final Replica replica : replicas) {
            replica.close();
        }
        return lateRetries.get() > 3 ? 1 : served == 0 ? 2 : 0;
    }

    private void sendFor(long durationMs) throws InterruptedException {
        final long endNanos = System.nanoTime() + durationMs * 1_000_000;
        while (System.nanoTime() - endNanos < 0) {
            final String attempt = "crashing-" + sentNanos.size();
            sentNanos.put(attempt, System.nanoTime());
            record.line("sent " + attempt);
            record.line("answer to " + attempt + ": " + request("GET", CRASHING_PATH, attempt));
            Thread.sleep(500);
        }
    }

    /** Sends sound requests that may run once only, each with a path of its own. */
    private void charge(int requester) {
        for (int number = 0; !stopped; number++) {
            final String attempt = "charge-" + requester + "-" + number;
            final String answer = request("POST", "/charge/" + attempt, attempt);
            if (!answer.equals("200 complete") && ran.contains(attempt)) {
                lostCharges.incrementAndGet();
                record.line(attempt + " had begun to run; answer: " + answer);
            }
        }
    }

    private String request(String method, String path, String attempt) {
        try (Requester requester = new Requester(fleet.entryAddress(0), 3_000)) {
            requester.send(method, path, attempt, 1_500, new byte[0]);
            final Http.Answer answer = requester.read();
            return answer.head().status() + " " + answer.end();
        } catch (IOException e) {
            return "none, " + e;
        }
    }

    private void startReplica() throws IOException {
        replicas.add(new Replica(fleet, nextReplica.getAndIncrement(), "ledger", record, (connection, head) -> {
            final String attempt = head.header("x-attempt-id");
            connection.in().readNBytes(head.contentLength());
            if (head.path().equals(CRASHING_PATH)) {
                crash(connection.replica(), attempt);
                return false;
            }
            ran.add(attempt);
            Thread.sleep(60);
            connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-" + attempt
                    + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
    }

    /** Crashes a replica; it is back after some seconds, as a new life with a new id. */
    private void crash(Replica replica, String attempt) throws Exception {
        final long nowNanos = System.nanoTime();
        final int number = crashes.incrementAndGet();
        final boolean late = number > 3 && nowNanos - thirdCrashNanos.get() > CONTACT_MS * 1_000_000L;
        final boolean inTouch = nowNanos - coreChangedNanos.get() > CONTACT_MS * 1_000_000L;
        if (late && inTouch) {
            lateRetries.incrementAndGet();
        }
        record.line(replica.id + " begins to run " + attempt + " and crashes, the " + number + ". crash"
                + (late ? ", later than contactMs after the third" : "") + (inTouch ? "" : ", the core isn't stable"));
        if (number == 3) {
            thirdCrashNanos.set(nowNanos);
        }
        replicas.remove(replica);
        replica.crash();
        final Thread restart = new Thread(() -> {
            try {
                Thread.sleep(BACK_AFTER_MS);
                startReplica();
            } catch (IOException | InterruptedException e) {
                record.line("a replica did not start again: " + e);
            }
        });
        restart.setDaemon(true);
        restart.start();
    }

    private void killLeader() throws Exception {
        for (int control = 0; control < fleet.controls; control++) {
            if (fleet.process(control).isAlive() && answersReads(control)) {
                fleet.signal(control, "KILL");
                fleet.process(control).waitFor();
                coreChangedNanos.set(System.nanoTime());
                return;
            }
        }
        throw new IllegalStateException("no control node leads");
    }

    /** Returns whether the node itself answers a read, which only the leader does. */
    private boolean answersReads(int control) {
        return fleet.callWithoutRedirect(control, "GET", "/-/configuration/read", "", 1_000)
                .map(HttpResponse::statusCode)
                .filter(status -> status == 200)
                .isPresent();
    }

    private void restartEnded() throws IOException {
        for (int control = 0; control < fleet.controls; control++) {
            if (!fleet.process(control).isAlive()) {
                fleet.start(control, false);
                coreChangedNanos.set(System.nanoTime());
            }
        }
    }
}

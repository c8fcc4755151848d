package review2;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas answer long requests before they have read them, keep the connections and read on later. They must then get
 * the rest of the bodies, and no other bytes.
 */
public final class EarlyAnswers {
    private static final int BODY_BYTES = 4_000_000;
    private static final int LONG_BYTES = 1_000_000;
    private static final int REPLICAS = 5;
    private static final int UPLOADS = 90;
    /** Uploads that are sent at the same time. */
    private static final int AT_ONCE = 5;
    private static final long READ_ON_AFTER_MS = 6_000;
    private static final String ROUTE = "{\"name\":\"r-%s\",\"hostname\":\"" + Requester.HOST
            + "\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\",\"timeoutMs\":6000,\"targetLatencyMs\":1000,"
            + "\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\"anonymous\":true}";
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
            + String.format(ROUTE, "upload", "upload", "non_idempotent") + ","
            + String.format(ROUTE, "lookup", "lookup", "idempotent")
            + "],\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\",\"maxConnections\":384,"
            + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldRateS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000}}";

    private EarlyAnswers() {}

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoIfMainFails();
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final AtomicInteger otherBytes = new AtomicInteger();
        final AtomicInteger ran = new AtomicInteger();
        final AtomicInteger unanswered = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        int status = 2;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0], "record.txt"));
                Fleet fleet = new Fleet(3, 1, 1, record)) {
            fleet.publishAndAwaitReady(CONFIGURATION);
            final Replica.Behaviour behaviour = (connection, head) -> {
                final String attempt = head.header("x-attempt-id");
                final String id = connection.replica().id;
                ran.incrementAndGet();
                final int length = head.contentLength();
                final boolean early = trouble && length >= LONG_BYTES;
                if (!early) {
                    readBody(connection.in(), length, record, id, attempt, otherBytes);
                }
                connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-" + attempt
                        + "\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=20\r\nContent-Length: "
                        + attempt.length() + "\r\n\r\n" + attempt);
                record.line(id + " answered " + attempt + (early ? " before it has read the body" : ""));
                if (early) {
                    Thread.sleep(READ_ON_AFTER_MS);
                    readBody(connection.in(), length, record, id, attempt, otherBytes);
                }
                return true;
            };
            final List<Replica> replicas = new ArrayList<>();
            for (int number = 0; number < REPLICAS; number++) {
                replicas.add(new Replica(fleet, number, "ledger", record, behaviour));
            }
            Thread.sleep(4_000);
            status = 0;
            final ExecutorService requesters = Executors.newCachedThreadPool();
            final byte[] body = body();
            for (int number = 0; number < UPLOADS; number++) {
                final String attempt = "upload-" + number;
                requesters.execute(() -> request(fleet, record, "POST", attempt, body, served, unanswered));
                if (number % AT_ONCE == AT_ONCE - 1) {
                    Thread.sleep(120);
                    for (int next = number - AT_ONCE + 1; next <= number; next++) {
                        final String lookup = "lookup-" + next;
                        requesters.execute(
                                () -> request(fleet, record, "GET", lookup, new byte[0], served, unanswered));
                    }
                    Thread.sleep(120);
                }
            }
            Thread.sleep(READ_ON_AFTER_MS);
            for (int number = UPLOADS; number < UPLOADS + 40; number++) {
                final String lookup = "lookup-" + number;
                requesters.execute(() -> request(fleet, record, "GET", lookup, new byte[0], served, unanswered));
                Thread.sleep(50);
            }
            requesters.shutdown();
            requesters.awaitTermination(15, TimeUnit.SECONDS);
            Thread.sleep(READ_ON_AFTER_MS + 1_000);
            record.line("entry node runs: " + fleet.process(fleet.entryNode(0)).isAlive());
            if (otherBytes.get() > 0) {
                status = 1;
            }
            record.line(served + " answered with success, " + unanswered + " without an answer, " + ran
                    + " requests read by replicas, " + otherBytes + " bodies with other bytes");
            for (final Replica replica : replicas) {
                replica.close();
            }
            record.line(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "could not run");
        }
        System.exit(status);
    }

    private static byte[] body() {
        final byte[] body = new byte[BODY_BYTES];
        java.util.Arrays.fill(body, (byte) '.');
        return body;
    }

    /** Reads a body, which consists of dots only. */
    private static void readBody(
            InputStream in, int length, CaseRecord record, String id, String attempt, AtomicInteger otherBytes)
            throws IOException {
        final byte[] block = new byte[64 * 1024];
        int left = length;
        while (left > 0) {
            final int count = in.read(block, 0, Math.min(block.length, left));
            if (count < 0) {
                record.line(id + ": the caller closed the connection with " + left + " bytes of the body of " + attempt
                        + " unsent");
                return;
            }
            for (int at = 0; at < count; at++) {
                if (block[at] != '.') {
                    otherBytes.incrementAndGet();
                    record.line("UNASKED: " + id + " gets, " + left + " bytes before the end of the body of " + attempt
                            + ": " + new String(block, at, Math.min(60, count - at)).replaceAll("\\s+", " "));
                    throw new IOException("other bytes in a body");
                }
            }
            left -= count;
        }
    }

    private static void request(
            Fleet fleet, CaseRecord record, String method, String attempt, byte[] body, AtomicInteger served,
            AtomicInteger unanswered) {
        final long startNanos = System.nanoTime();
        String outcome;
        try (Requester requester = new Requester(fleet.entryAddress(0), 8_000)) {
            requester.send(method, "/" + attempt.substring(0, attempt.indexOf('-')) + "/x", attempt, 6_000, body);
            final Http.Answer answer = requester.read();
            outcome = answer.head().status() + " " + answer.end();
            if (answer.head().status() == 200 && answer.isComplete()) {
                served.incrementAndGet();
            }
        } catch (IOException e) {
            unanswered.incrementAndGet();
            outcome = "none, " + e;
        }
        record.line("answer to " + attempt + " after " + (System.nanoTime() - startNanos) / 1_000_000 + " ms: "
                + outcome);
    }
}

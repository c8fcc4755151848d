package review2;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas send long answers whole, in many small chunks: a list, item by item. A request that may run once only and has run must not be answered
 * with 503, which promises that it has not.
 */
public final class SmallChunks {
    private static final int REPLICAS = 3;
    private static final int REQUESTERS = 2;
    private static final int ROUNDS = 6;
    private static final int CHUNKS = 700_000;
    /** One item of a long list, which the replica writes item by item. */
    private static final String ITEM = "1234567890,";
    private static final int TIMEOUT_MS = 3_000;
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r-charge\",\"hostname\":\""
            + Requester.HOST + "\",\"pathPrefix\":\"/charge/\",\"kind\":\"non_idempotent\",\"timeoutMs\":" + TIMEOUT_MS
            + ",\"targetLatencyMs\":339,\"priority\":2,\"service\":\"ledger\",\"maxAttempts\":2,\"anonymous\":true}],"
            + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldStartS\":0.0,\"coldRateS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    private SmallChunks() {}

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoIfMainFails();
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Set<String> ran = ConcurrentHashMap.newKeySet();
        final Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        final AtomicInteger falsePromises = new AtomicInteger();
        int status = 2;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0], "record.txt"));
                Fleet fleet = new Fleet(3, 1, 1, record)) {
            fleet.publishAndAwaitReady(CONFIGURATION);
            final byte[] whole = ITEM.repeat(CHUNKS).getBytes(StandardCharsets.US_ASCII);
            final byte[] chunk = (Integer.toHexString(ITEM.length()) + "\r\n" + ITEM + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            final List<Replica> replicas = new ArrayList<>();
            for (int number = 0; number < REPLICAS; number++) {
                replicas.add(new Replica(fleet, number, "ledger", record, (connection, head) -> {
                    final String attempt = head.header("x-attempt-id");
                    connection.in().readNBytes(head.contentLength());
                    ran.add(attempt);
                    Thread.sleep(20);
                    final OutputStream out = new BufferedOutputStream(connection.out(), 64 * 1024);
                    out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-" + attempt
                                    + "\r\nContent-Type: application/json\r\n"
                                    + (trouble
                                            ? "Transfer-Encoding: chunked\r\n\r\n"
                                            : "Content-Length: " + whole.length + "\r\n\r\n"))
                            .getBytes(StandardCharsets.US_ASCII));
                    if (trouble) {
                        for (int sent = 0; sent < CHUNKS; sent++) {
                            out.write(chunk);
                        }
                        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    } else {
                        out.write(whole);
                    }
                    out.flush();
                    record.line(connection.replica().id + " ran " + attempt + " and has answered whole");
                    return true;
                }));
            }
            Thread.sleep(4_000);
            for (int round = 0; round < ROUNDS; round++) {
                final List<Thread> threads = new ArrayList<>();
                for (int requester = 0; requester < REQUESTERS; requester++) {
                    final String attempt = "charge-" + round + "-" + requester;
                    final Thread thread = new Thread(() -> {
                        final String answer = charge(fleet, record, attempt);
                        outcomes.merge(answer.replaceAll("[0-9]+ ms", "").strip(), 1, Integer::sum);
                        if (answer.startsWith("503") && ran.contains(attempt)) {
                            falsePromises.incrementAndGet();
                            record.line("REFUSED: " + attempt + " is answered 503 and has run");
                        }
                    });
                    thread.start();
                    threads.add(thread);
                }
                for (final Thread thread : threads) {
                    thread.join();
                }
                Thread.sleep(300);
            }
            record.line("answers: " + outcomes);
            status = falsePromises.get() > 0 ? 1 : ran.isEmpty() ? 2 : 0;
            for (final Replica replica : replicas) {
                replica.close();
            }
            record.line(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "could not run");
        }
        System.exit(status);
    }

    private static String charge(Fleet fleet, CaseRecord record, String attempt) {
        final long startNanos = System.nanoTime();
        String outcome;
        try (Requester requester = new Requester(fleet.entryAddress(0), TIMEOUT_MS + 5_000)) {
            requester.send("POST", "/charge/" + attempt, attempt, TIMEOUT_MS + 2_000, attempt.getBytes(StandardCharsets.US_ASCII));
            final Http.Answer answer = requester.read();
            outcome = answer.head().status() + " " + answer.end()
                    + (answer.head().status() == 200
                            ? ""
                            : ": " + new String(answer.body(), StandardCharsets.US_ASCII).strip());
        } catch (IOException e) {
            outcome = "none, " + e;
        }
        record.line("answer to " + attempt + " after " + (System.nanoTime() - startNanos) / 1_000_000 + " ms: "
                + outcome);
        return outcome;
    }
}

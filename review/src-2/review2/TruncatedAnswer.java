package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A replica answers before it has read a long body; the answer has no length and is reset on the way. The requester must
 * not get it as a complete success.
 */
public final class TruncatedAnswer {
    /** Below the limit of the configuration, maxBodyBytes. */
    private static final int BODY_BYTES = 4_190_000;
    private static final int ANSWER_BYTES = 40_000;
    private static final int REQUESTS = 600;
    private static final int REQUESTERS = 4;
    private static final int REPLICAS = 4;
    /**
     * Two of the four replicas answer each 20th of their requests early and without a length; with trouble, they reset
     * these answers.
     */
    private static final int SPOIL_ONE_IN = 20;
    /** No answer is spoiled later than this after the first one; the pages' longest "garble" lasts 5.5 s. */
    private static final long SPOIL_FOR_NANOS = 5_000_000_000L;
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r-upload\",\"hostname\":\""
            + Requester.HOST + "\",\"pathPrefix\":\"/upload/\",\"kind\":\"%s\",\"timeoutMs\":6000,"
            + "\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\"anonymous\":true}],"
            + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\",\"maxConnections\":49,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldStartS\":0.0,\"coldRateS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    private TruncatedAnswer() {}

    private static void upload(
            Fleet fleet,
            CaseRecord record,
            String attempt,
            Map<String, byte[]> whole,
            AtomicInteger served,
            AtomicInteger mixed) {
        try (Requester requester = new Requester(fleet.entryAddress(0), 9_000)) {
            requester.send("POST", "/upload/" + attempt, attempt, 6_000, new byte[BODY_BYTES]);
            final Http.Answer answer = requester.read();
            record.line("answer to " + attempt + ": " + answer.head().status() + ", " + answer.body().length + " bytes, "
                    + answer.end());
            final boolean success = answer.head().status() / 100 == 2 && answer.isComplete();
            if (success && !Arrays.equals(answer.body(), whole.get(attempt))) {
                record.line("MIXED: a success whose body is not the replica's whole body");
                mixed.incrementAndGet();
            }
            served.addAndGet(success ? 1 : 0);
        } catch (java.io.IOException e) {
            record.line("no answer to " + attempt + ": " + e);
        }
    }

    private static int number(String attempt) {
        return Integer.parseInt(attempt.substring(attempt.indexOf('-') + 1));
    }

    private static String head(String attempt) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-" + attempt
                + "\r\nContent-Type: text/plain\r\n";
    }

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoIfMainFails();
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final Map<String, byte[]> whole = new ConcurrentHashMap<>();
        int status = 2;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0], "record.txt"));
                Fleet fleet = new Fleet(3, 1, 1, record)) {
            fleet.publishAndAwaitReady(String.format(CONFIGURATION, "non_idempotent"));
            final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
            final AtomicLong firstSpoiledNanos = new AtomicLong();
            final AtomicInteger spoiledAnswers = new AtomicInteger();
            final Replica.Behaviour behaviour = (connection, head) -> {
                final String attempt = head.header("x-attempt-id");
                final byte[] answer = new byte[ANSWER_BYTES];
                Arrays.fill(answer, (byte) ('a' + number(attempt) % 26));
                whole.put(attempt, answer);
                final long nowNanos = System.nanoTime();
                final boolean spoiled =
                        Integer.parseInt(connection.replica().id.substring(2)) < REPLICAS / 2
                                && answers.computeIfAbsent(connection.replica().id, id -> new AtomicInteger())
                                                        .incrementAndGet()
                                                % SPOIL_ONE_IN
                                        == 0
                                && nowNanos
                                                - firstSpoiledNanos.updateAndGet(
                                                        first -> first == 0 ? nowNanos : first)
                                        < SPOIL_FOR_NANOS;
                if (!spoiled) {
                    connection.in().readNBytes(head.contentLength());
                    connection.write(head(attempt) + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n");
                    connection.out().write(answer);
                    connection.out().flush();
                    record.line(connection.replica().id + " ran " + attempt + " and answered");
                    return true;
                }
                spoiledAnswers.incrementAndGet();
                record.line(connection.replica().id + " runs " + attempt
                        + " and answers without a length, before it has read the body");
                connection.write(head(attempt) + "Connection: close\r\n\r\n");
                connection.out().write(answer, 0, ANSWER_BYTES / 2);
                connection.out().flush();
                Thread.sleep(100);
                if (trouble) {
                    record.line(connection.replica().id + " resets its answer to " + attempt + " after "
                            + ANSWER_BYTES / 2 + " of " + ANSWER_BYTES + " bytes");
                    connection.reset();
                    return false;
                }
                connection.out().write(answer, ANSWER_BYTES / 2, ANSWER_BYTES / 2);
                connection.out().flush();
                connection.in().readNBytes(head.contentLength());
                record.line(connection.replica().id + " has read the body of " + attempt);
                return false;
            };
            final List<Replica> replicas = new ArrayList<>();
            for (int number = 0; number < REPLICAS; number++) {
                replicas.add(new Replica(fleet, number, "ledger", record, behaviour));
            }
            try {
                Thread.sleep(4_000);
                status = 0;
                final AtomicInteger served = new AtomicInteger();
                final AtomicInteger mixed = new AtomicInteger();
                final List<Thread> requesters = new ArrayList<>();
                for (int first = 0; first < REQUESTERS; first++) {
                    final int start = first;
                    final Thread thread = new Thread(() -> {
                        for (int number = start; number < REQUESTS; number += REQUESTERS) {
                            upload(fleet, record, "upload-" + number, whole, served, mixed);
                        }
                    });
                    thread.start();
                    requesters.add(thread);
                }
                for (final Thread thread : requesters) {
                    thread.join();
                }
                status = mixed.get() > 0 ? 1 : 0;
                record.line(served + " of " + REQUESTS + " got a complete success");
                if (served.get() < REQUESTS / 2 || spoiledAnswers.get() == 0) {
                    status = 2;
                }
                record.line(spoiledAnswers + " answers were sent early and without a length");
            } finally {
                for (final Replica replica : replicas) {
                    replica.close();
                }
            }
            record.line(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "could not run");
        }
        System.exit(status);
    }
}

package org.wigeongrade.platform.soak;

import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records what clients, endpoints and operators observe, and every violation of a guarantee. Thread safe.
 */
final class GuaranteeChecker {
    /** Statuses that guarantee that the request has not run and never will. */
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> refusalStatuses = new ConcurrentHashMap<>();
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final List<String> observations = new CopyOnWriteArrayList<>();
    private final Map<Integer, AtomicInteger> responsesByStatus = new ConcurrentHashMap<>();
    /** Connections that could not be opened, or that ended before the status of a response. */
    private final AtomicInteger unansweredCalls = new AtomicInteger();

    private final LongSummaryStatistics servingGroups = new LongSummaryStatistics();

    private final SendRestrictionChecker sendRestrictions = new SendRestrictionChecker(this);

    private final CutResponseChecker cutResponses = new CutResponseChecker(this);

    private final StatedLimitChecker limits = new StatedLimitChecker(this);

    private final ReplicaRunChecker replicaRuns = new ReplicaRunChecker(this);

    ReplicaRunChecker replicaRuns() {
        return replicaRuns;
    }

    StatedLimitChecker limits() {
        return limits;
    }

    SendRestrictionChecker sendRestrictions() {
        return sendRestrictions;
    }

    void reportViolation(String guarantee, String details) {
        violations.add(guarantee + ": " + details);
    }

    /** Records what may be no violation, but is worth a trace. */
    void reportObservation(String what, String details) {
        observations.add(what + ": " + details);
    }

    List<String> observations() {
        return List.copyOf(observations);
    }

    void recordSent(String attempt) {
        sentNanos.put(attempt, System.nanoTime());
    }

    /** Returns when a client sent the request; 0 if no client did. */
    long sentNanos(String attempt) {
        return sentNanos.getOrDefault(attempt, 0L);
    }

    /** Records that an endpoint started to run a request. */
    void recordRun(String attempt, boolean idempotent) {
        if (!sentNanos.containsKey(attempt)) {
            reportViolation("only requests of clients run", attempt + " was sent by no client");
        }
        final int count =
                runs.computeIfAbsent(attempt, unused -> new AtomicInteger()).incrementAndGet();
        if (!idempotent && count > 1) {
            reportViolation("a non-idempotent request runs at most once", attempt + " ran " + count + " times");
        }
        if (!idempotent && refusalStatuses.containsKey(attempt)) {
            reportViolation(
                    "a refused request never runs",
                    attempt + " ran after it was refused with " + refusalStatuses.get(attempt));
        }
    }

    /** Records a complete response that a client received. */
    void recordResponse(String attempt, HttpConnection.Response response, boolean idempotent) {
        responsesByStatus
                .computeIfAbsent(response.status(), unused -> new AtomicInteger())
                .incrementAndGet();
        if (!idempotent && NOT_RUN_STATUSES.contains(response.status())) {
            refusalStatuses.put(attempt, response.status());
            if (runs.containsKey(attempt)) {
                reportViolation(
                        "a refused request never runs",
                        attempt + " was refused with " + response.status() + " and ran");
            }
        }
        final String echoedAttempt = response.headers().get("x-attempt-id");
        if (echoedAttempt != null && !echoedAttempt.equals(attempt)) {
            reportViolation("each response belongs to its request", attempt + " got the response to " + echoedAttempt);
        }
    }

    /** Records that a client could not open a connection, or that it ended before the status of a response. */
    void recordUnansweredCall() {
        unansweredCalls.incrementAndGet();
    }

    /** Returns the check of responses that began and ended early. */
    CutResponseChecker cutResponses() {
        return cutResponses;
    }

    /** Records how many groups serve now; called at equal intervals. */
    void recordServingGroups(int count) {
        synchronized (servingGroups) {
            servingGroups.accept(count);
        }
    }

    private String servingGroupsText() {
        synchronized (servingGroups) {
            return "%.1f groups serve on average".formatted(servingGroups.getAverage());
        }
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    int responseCount(int status) {
        return responsesByStatus.getOrDefault(status, new AtomicInteger()).get();
    }

    @Override
    public String toString() {
        return "responses by status " + responsesByStatus + ", unanswered calls " + unansweredCalls + ", "
                + cutResponses + ", " + replicaRuns + ", runs " + runs.size() + ", " + servingGroupsText();
    }
}

package org.wigeongrade.platform.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What clients, endpoints and operators saw, and which promises were broken by it. Thread safe.
 */
final class Promises {
    /** Answers that promise that the request was not run and never will be. */
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> refusedOnce = new ConcurrentHashMap<>();
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger broken = new AtomicInteger();

    void violated(String promise, String what) {
        violations.add(promise + ": " + what);
    }

    void sent(String attempt) {
        sentNanos.put(attempt, System.nanoTime());
    }

    /** Returns when a client sent the request; 0 if no client did. */
    long sentNanos(String attempt) {
        return sentNanos.getOrDefault(attempt, 0L);
    }

    /** Takes the news that an endpoint began to run a request. */
    void ran(String attempt, boolean repeatable) {
        if (!sentNanos.containsKey(attempt)) {
            violated("only clients' requests run", attempt + " was sent by no client");
        }
        final int count =
                runs.computeIfAbsent(attempt, unused -> new AtomicInteger()).incrementAndGet();
        if (!repeatable && count > 1) {
            violated("at most once", attempt + " ran " + count + " times");
        }
        if (!repeatable && refusedOnce.containsKey(attempt)) {
            violated("a refusal is true", attempt + " ran after it was refused with " + refusedOnce.get(attempt));
        }
    }

    /** Takes a whole answer that a client got. */
    void answered(String attempt, HttpConnection.Answer answer, boolean repeatable) {
        statuses.computeIfAbsent(answer.status(), unused -> new AtomicInteger()).incrementAndGet();
        if (!repeatable && NOT_RUN_STATUSES.contains(answer.status())) {
            refusedOnce.put(attempt, answer.status());
            if (runs.containsKey(attempt)) {
                violated("a refusal is true", attempt + " was refused with " + answer.status() + " and ran");
            }
        }
        final String echoed = answer.headers().get("x-attempt-id");
        if (echoed != null && !echoed.equals(attempt)) {
            violated("each answer belongs to its request", attempt + " got the answer to " + echoed);
        }
    }

    /** Takes the news that a client got no whole answer. */
    void brokenOff() {
        broken.incrementAndGet();
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    int answers(int status) {
        return statuses.getOrDefault(status, new AtomicInteger()).get();
    }

    @Override
    public String toString() {
        return "answers by status " + statuses + ", broken off " + broken + ", runs " + runs.size();
    }
}

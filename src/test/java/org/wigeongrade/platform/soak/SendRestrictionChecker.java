package org.wigeongrade.platform.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Checks that an entry node sends nothing more to an endpoint that told it that it leaves, and nothing during a pause
 * that an endpoint asked it for. A node that was killed, stopped or paused since then is excused. Thread safe.
 */
final class SendRestrictionChecker {
    /** Time after which a leaving endpoint must get no new requests; the users' shortest one. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** Time in which requests that were already on their way may arrive. */
    private static final long IN_TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_REQUESTS_IN_PAUSE = 2;

    /** One incarnation of an endpoint, seen from one entry node. */
    private record Pair(int entry, String vm, long incarnation) {}

    private record Pause(long startNanos, long endNanos, AtomicInteger requests) {}

    private final GuaranteeChecker guarantees;
    private final Map<Pair, Long> leavingSinceNanos = new ConcurrentHashMap<>();
    private final Map<Pair, Pause> pauses = new ConcurrentHashMap<>();

    SendRestrictionChecker(GuaranteeChecker guarantees) {
        this.guarantees = guarantees;
    }

    /** Returns the prefix of the ids of requests that are sent to an entry node. */
    static String attemptPrefix(int entry) {
        return "e" + entry + "-";
    }

    /** Checks a request that arrived at an endpoint. */
    void recordArrival(String attempt, String vm, long incarnation) {
        final Pair pair = new Pair(entryOf(attempt), vm, incarnation);
        final long nowNanos = System.nanoTime();
        final Long leavingNanos = leavingSinceNanos.get(pair);
        if (leavingNanos != null && guarantees.sentNanos(attempt) - leavingNanos > DRAIN_NANOS) {
            guarantees.reportViolation("a leaving endpoint gets no new requests", attempt + " reached " + pair);
        }
        final Pause pause = pauses.get(pair);
        final boolean paused =
                pause != null && nowNanos - pause.startNanos() > IN_TRANSIT_NANOS && nowNanos - pause.endNanos() < 0;
        if (paused && pause.requests().incrementAndGet() > MAX_REQUESTS_IN_PAUSE) {
            guarantees.reportViolation("an endpoint's pause is kept", attempt + " reached " + pair);
        }
    }

    /** Records that a response told the entry node that the endpoint leaves. */
    void recordLeaving(String attempt, String vm, long incarnation) {
        leavingSinceNanos.putIfAbsent(new Pair(entryOf(attempt), vm, incarnation), System.nanoTime());
    }

    /** Records that a response asked the entry node for a pause. */
    void recordPause(String attempt, String vm, long incarnation, long pauseMs) {
        final long nowNanos = System.nanoTime();
        pauses.putIfAbsent(
                new Pair(entryOf(attempt), vm, incarnation),
                new Pause(nowNanos, nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMs), new AtomicInteger()));
    }

    /** Forgets what an entry node was told, because a fault affects its process. */
    void excuse(int entry) {
        leavingSinceNanos.keySet().removeIf(pair -> pair.entry() == entry);
        pauses.keySet().removeIf(pair -> pair.entry() == entry);
    }

    /** Forgets the pauses that an entry node was asked for, because its links to endpoints fail. */
    void excusePauses(int entry) {
        pauses.keySet().removeIf(pair -> pair.entry() == entry);
    }

    static int entryOf(String attempt) {
        return Integer.parseInt(attempt.substring(1, attempt.indexOf('-')));
    }
}

package org.wigeongrade.platform.soak;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wigeongrade.metrics.CutCause;

/**
 * Checks that each response that had begun and ended early did so for a reason that the guarantees allow. The reason is
 * the cause that the entry node logged, compared with what endpoints, links and processes did. Thread safe.
 */
final class CutResponseChecker {
    /** Time between what ends a connection and the moment at which the client sees it. */
    private static final long IN_TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final Pattern CUT_EVENT = Pattern.compile(" event=1619 .* request=(\\S+) cause=(\\S+)");

    /** A response that began and then ended early at the client. */
    private record CutResponse(String attempt, int entry, long sentNanos, long endedNanos, String detail) {}

    /** A time in which an entry node was killed, or its links to endpoints were disturbed. */
    private record Disturbance(int entry, long startNanos, long endNanos) {
        boolean touches(CutResponse cut) {
            return cut.entry() == entry
                    && startNanos - cut.endedNanos() <= 0
                    && cut.sentNanos() - endNanos <= IN_TRANSIT_NANOS;
        }
    }

    private final GuaranteeChecker guarantees;
    private final List<CutResponse> cutResponses = new CopyOnWriteArrayList<>();
    private final List<Disturbance> kills = new CopyOnWriteArrayList<>();
    private final List<Disturbance> linkFaults = new CopyOnWriteArrayList<>();
    private final Set<String> brokenOff = ConcurrentHashMap.newKeySet();
    private final Map<CutCause, Integer> countByCause = new EnumMap<>(CutCause.class);
    /** Whether no fault of the run lets an endpoint break off. */
    private volatile boolean endpointsAreSound;

    private int cutByKill;

    CutResponseChecker(GuaranteeChecker guarantees) {
        this.guarantees = guarantees;
    }

    /** Records that a client received the status of a response, but not all of it. */
    void recordCut(String attempt, int entry, String detail) {
        cutResponses.add(new CutResponse(attempt, entry, guarantees.sentNanos(attempt), System.nanoTime(), detail));
    }

    /** States that no fault of the run lets an endpoint break off a response, so that only orders of the leader can. */
    void expectSoundEndpoints() {
        endpointsAreSound = true;
    }

    /** Records that an endpoint ended its response to a request early. */
    void recordBrokenOff(String attempt) {
        brokenOff.add(attempt);
    }

    /** Records that the process of an entry node was killed. */
    void recordKill(int entry, long startNanos) {
        kills.add(new Disturbance(entry, startNanos, System.nanoTime()));
    }

    /** Records that the links of an entry node to endpoints were disturbed from a moment until now. */
    void recordLinkFault(int entry, long startNanos) {
        linkFaults.add(new Disturbance(entry, startNanos, System.nanoTime()));
    }

    /**
     * Reports each response that was cut without an allowed reason.
     *
     * @param logs the output of all entry nodes
     */
    synchronized void check(String logs) {
        final Map<String, CutCause> logged = new ConcurrentHashMap<>();
        logs.lines()
                .map(CUT_EVENT::matcher)
                .filter(Matcher::find)
                .forEach(event -> logged.put(
                        event.group(1), CutCause.valueOf(event.group(2).toUpperCase(Locale.ROOT))));
        cutResponses.forEach(cut -> check(cut, Optional.ofNullable(logged.get(cut.attempt()))));
    }

    private void check(CutResponse cut, Optional<CutCause> cause) {
        cause.ifPresent(known -> countByCause.merge(known, 1, Integer::sum));
        if (cause.isEmpty() && kills.stream().anyMatch(kill -> kill.touches(cut))) {
            cutByKill++;
        } else if (cause.isEmpty() || !isAllowed(cut, cause.get())) {
            guarantees.reportViolation(
                    "a response that has begun ends early only for an allowed reason",
                    cut.attempt() + " after "
                            + TimeUnit.NANOSECONDS.toMillis(cut.endedNanos() - cut.sentNanos()) + " ms: "
                            + cause.map(CutCause::code).orElse("no cause logged") + ", " + cut.detail());
        }
    }

    private boolean isAllowed(CutResponse cut, CutCause cause) {
        return switch (cause) {
            case DEADLINE_PASSED, NODE_STOPPED, REQUEST_QUARANTINED -> true;
            case ENDPOINT_BROKE_OFF ->
                (brokenOff.contains(cut.attempt()) && !endpointsAreSound)
                        || linkFaults.stream().anyMatch(fault -> fault.touches(cut));
            case ENDPOINT_SILENT, MEMORY_SHORT, CONNECTION_FAILED -> false;
        };
    }

    @Override
    public synchronized String toString() {
        return cutResponses.size() + " begun responses cut, by cause " + countByCause + ", " + cutByKill
                + " by a killed process";
    }
}

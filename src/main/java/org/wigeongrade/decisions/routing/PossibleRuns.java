package org.wigeongrade.decisions.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the runs of one request that replicas may have begun, against the limit of its route.
 *
 * <p>Invariants: an attempt counts from the moment at which its request may reach a replica, also after it was left,
 * cancelled or returned to, until it is proved that no replica ran it. What another node was granted counts in full until
 * that node has stated what it used. Nothing else lowers the count. Not thread safe.
 *
 * @param <A> identifies an attempt
 */
public final class PossibleRuns<A> {
    private final int earlier;
    private final Map<A, Integer> runsOf = new HashMap<>();

    /**
     * Creates the count of a request.
     *
     * @param earlier runs that another node may have caused before it passed the request on
     */
    public PossibleRuns(int earlier) {
        this.earlier = earlier;
    }

    /** Counts an attempt whose request may reach a replica from now on. */
    public void recordSent(A attempt) {
        runsOf.put(attempt, 1);
    }

    /** Counts an attempt through another node, which may cause up to {@code granted} runs. */
    public void recordGranted(A attempt, int granted) {
        runsOf.put(attempt, granted);
    }

    /** Records the proof that no replica ran, or will run, the request of an attempt. */
    public void recordNotRun(A attempt) {
        runsOf.remove(attempt);
    }

    /** Records how many of the runs that were granted to another node it has used; it causes no more of them. */
    public void recordUsed(A attempt, int used) {
        runsOf.computeIfPresent(attempt, (unused, granted) -> Math.min(granted, used));
    }

    /** Returns how many runs there may have been. */
    public int total() {
        return earlier + own();
    }

    /** Returns how many runs the attempts made here may have caused. */
    public int own() {
        return runsOf.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns how many runs there may have been without those of one attempt. */
    public int totalWithout(A attempt) {
        return total() - runsOf.getOrDefault(attempt, 0);
    }

    /** Returns whether another replica may be sent the request. */
    public boolean permitsAnother(int maxRuns) {
        return total() < maxRuns;
    }

    /**
     * Returns how many runs to grant to another node: all that are left but one, with which this node can go on if the
     * other one fails, and at least one.
     */
    public int grant(int maxRuns) {
        return Math.max(1, maxRuns - total() - 1);
    }
}

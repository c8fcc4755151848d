package org.wigeongrade.decisions.reachability;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wigeongrade.ids.AvailabilityZone;

/**
 * Tells an entry node that has lost its links to all endpoints from one whose endpoints fail. Failures at several
 * endpoints without a newly opened connection raise a doubt; probes of other endpoints decide it.
 *
 * <p>Only new connections count as success, because open ones may live on while no new one can be opened.
 *
 * <p>Invariants: the state is {@link LinkState#CUT} only after every probe of a round has failed, and not after a
 * connection has been opened since. Not thread safe.
 *
 * @param <E> identifies one incarnation of an endpoint
 */
public final class EndpointReachability<E> {
    /** Timeout of a probe, in milliseconds; several round trips, so that a cut is known well within a second. */
    public static final int PROBE_TIMEOUT_MS = 300;
    /** Time between the end of a round of probes without success and the next one, in milliseconds. */
    public static final long PROBE_INTERVAL_MS = 250;

    /** Endpoints that fail in a row before the node's own links are in doubt. */
    private static final int MIN_FAILED_ENDPOINTS = 2;
    /** Probes in one round: one for each availability zone of the smaller fleets. */
    private static final int PROBES_IN_ROUND = 3;

    private final Set<E> failed = new HashSet<>();
    private LinkState state = LinkState.WORKING;
    private long roundNumber;
    private int openProbes;

    public LinkState state() {
        return state;
    }

    /** Returns the endpoints that failed since a connection was last opened. */
    public ImmutableSet<E> failedEndpoints() {
        return ImmutableSet.copyOf(failed);
    }

    /** Records a failure at an endpoint; returns whether it raises a doubt, so that a round of probes should start. */
    public boolean recordFailure(E endpoint) {
        failed.add(endpoint);
        if (state != LinkState.WORKING || failed.size() < MIN_FAILED_ENDPOINTS) {
            return false;
        }
        state = LinkState.IN_DOUBT;
        return true;
    }

    /** Records that a connection to an endpoint was opened; returns whether that changes the state. */
    public boolean recordOpened() {
        failed.clear();
        openProbes = 0;
        final boolean changes = state != LinkState.WORKING;
        state = LinkState.WORKING;
        return changes;
    }

    /**
     * Starts a round of probes, at endpoints of different availability zones and at those without a failure first. If
     * there is no endpoint, there is nothing to be cut from, and the round is empty.
     */
    public ProbeRound<E> startRound(Collection<E> endpoints, Function<E, AvailabilityZone> zoneOf, Random random) {
        final List<E> shuffled = new ArrayList<>(endpoints);
        Collections.shuffle(shuffled, random);
        final List<E> targets = new ArrayList<>();
        addSpreadOverZones(
                shuffled.stream().filter(endpoint -> !failed.contains(endpoint)).toList(), zoneOf, targets);
        addSpreadOverZones(shuffled.stream().filter(failed::contains).toList(), zoneOf, targets);
        if (targets.isEmpty()) {
            recordOpened();
        }
        openProbes = targets.size();
        return new ProbeRound<>(++roundNumber, ImmutableList.copyOf(targets));
    }

    private static <E> void addSpreadOverZones(
            List<E> endpoints, Function<E, AvailabilityZone> zoneOf, List<E> targets) {
        final List<E> left = new ArrayList<>(endpoints);
        while (targets.size() < PROBES_IN_ROUND && !left.isEmpty()) {
            final Set<AvailabilityZone> zones = targets.stream().map(zoneOf).collect(Collectors.toSet());
            final E next = left.stream()
                    .filter(endpoint -> !zones.contains(zoneOf.apply(endpoint)))
                    .findFirst()
                    .orElse(left.get(0));
            left.remove(next);
            targets.add(next);
        }
    }

    /** Records that a probe failed; returns whether it was the last one of the current round. */
    public boolean recordProbeFailed(long round) {
        if (round != roundNumber || openProbes == 0) {
            return false;
        }
        openProbes--;
        if (openProbes > 0) {
            return false;
        }
        state = LinkState.CUT;
        return true;
    }
}

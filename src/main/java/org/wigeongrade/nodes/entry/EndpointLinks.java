package org.wigeongrade.nodes.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Random;
import java.util.function.Function;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.reachability.EndpointReachability;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.decisions.reachability.ProbeRound;
import org.wigeongrade.decisions.routing.EndpointView;

/**
 * What the threads of this VM observe of its links to all endpoints. Thread safe: all access locks this object, and no
 * other lock is acquired while holding it.
 */
public final class EndpointLinks {
    private final EndpointReachability<EndpointIncarnation> reachability = new EndpointReachability<>();
    private final Random random = new Random();

    public synchronized LinkState state() {
        return reachability.state();
    }

    /** Returns the endpoints that failed since a connection was last opened. */
    public synchronized ImmutableSet<EndpointIncarnation> failedEndpoints() {
        return reachability.failedEndpoints();
    }

    /** Records a failed connection; returns whether it raises a doubt, so that a round of probes should start. */
    public synchronized boolean recordFailure(EndpointIncarnation endpoint) {
        return reachability.recordFailure(endpoint);
    }

    /** Records that a connection was opened; returns whether that changes the state. */
    public synchronized boolean recordOpened() {
        return reachability.recordOpened();
    }

    /** Records that a probe failed; returns whether it was the last one of the current round. */
    public synchronized boolean recordProbeFailed(long round) {
        return reachability.recordProbeFailed(round);
    }

    /** Starts a round of probes at some of the endpoints. */
    public ProbeRound<EndpointView> startRound(Collection<EndpointView> endpoints) {
        final ImmutableMap<EndpointIncarnation, EndpointView> byIncarnation = endpoints.stream()
                .collect(ImmutableMap.toImmutableMap(
                        endpoint -> new EndpointIncarnation(endpoint.id(), endpoint.incarnation()),
                        Function.identity()));
        final ProbeRound<EndpointIncarnation> round;
        synchronized (this) {
            round = reachability.startRound(
                    byIncarnation.keySet(),
                    incarnation -> byIncarnation.get(incarnation).zone(),
                    random);
        }
        return new ProbeRound<>(
                round.number(),
                round.targets().stream().map(byIncarnation::get).collect(ImmutableList.toImmutableList()));
    }
}

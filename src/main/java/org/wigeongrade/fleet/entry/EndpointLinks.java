package org.wigeongrade.fleet.entry;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.reachability.EndpointReachability;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.decisions.reachability.ProbeRound;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;

/**
 * This node's links to the endpoints, which may fail all at once while callers and other nodes still reach it. Used on
 * the event loop only.
 *
 * <p>Invariant: while the links are cut, no idle connection from before is kept, and what this node observed meanwhile
 * is not held against any endpoint.
 */
final class EndpointLinks {
    private final SharedEventLoop loop;
    private final EndpointConnectionPool connectionPool;
    private final EndpointRegistry registry;
    private final EventLog events;
    private final Metrics metrics;
    private final WaitClock waitClock;
    private final Random random = new Random();
    private final EndpointReachability<VmIncarnation> reachability = new EndpointReachability<>();
    private long stateSinceNanos;

    EndpointLinks(
            SharedEventLoop loop,
            EndpointConnectionPool connectionPool,
            EndpointRegistry registry,
            EventLog events,
            Metrics metrics,
            WaitClock waitClock) {
        this.loop = loop;
        this.connectionPool = connectionPool;
        this.registry = registry;
        this.events = events;
        this.metrics = metrics;
        this.waitClock = waitClock;
        this.stateSinceNanos = waitClock.nowNanos();
        metrics.setEndpointLinksCut(false);
    }

    /** Returns whether requests have to be sent through another entry node. */
    boolean areCut() {
        return !reachability.state().sendsDirectly();
    }

    /** Records that a connection to an endpoint could not be opened, failed or has been silent for too long. */
    void recordFailure(EndpointLoad endpoint) {
        if (reachability.recordFailure(endpoint.vm())) {
            enterState();
            startRound();
        }
    }

    /** Records that a connection to an endpoint was opened. */
    void recordOpened() {
        if (reachability.recordOpened()) {
            enterState();
        }
    }

    private void startRound() {
        final Map<VmIncarnation, EndpointLoad> endpoints =
                registry.routableEndpoints().stream().collect(Collectors.toMap(EndpointLoad::vm, Function.identity()));
        final ProbeRound<VmIncarnation> round = reachability.startRound(
                endpoints.keySet(), vm -> endpoints.get(vm).zone(), random);
        if (round.targets().isEmpty()) {
            enterState();
            return;
        }
        round.targets()
                .forEach(vm -> connectionPool.probe(endpoints.get(vm), opened -> {
                    if (opened) {
                        recordOpened();
                    } else if (reachability.recordProbeFailed(round.number())) {
                        onRoundFailed();
                    }
                }));
    }

    private void onRoundFailed() {
        NettyFutures.logFailure(loop.eventLoop()
                .schedule(this::probeAgain, EndpointReachability.PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS));
        if (registry.linkState() != LinkState.CUT) {
            enterState();
            connectionPool.resetIdleAndConnecting();
        }
    }

    private void probeAgain() {
        if (areCut()) {
            startRound();
        }
    }

    private void enterState() {
        final long nowNanos = waitClock.nowNanos();
        final LinkState state = reachability.state();
        events.write(
                LogEvent.ENDPOINT_LINKS_CHANGED,
                state.code(),
                reachability.failedEndpoints(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - stateSinceNanos),
                registry.view().relayAddresses().size());
        stateSinceNanos = nowNanos;
        registry.setLinkState(state);
        metrics.setEndpointLinksCut(areCut());
    }
}

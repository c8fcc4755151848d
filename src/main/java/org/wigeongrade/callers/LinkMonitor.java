package org.wigeongrade.callers;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.SuspectTable;
import org.wigeongrade.decisions.reachability.EndpointReachability;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.decisions.reachability.ProbeRound;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.entry.EndpointLinks;

/**
 * Probes endpoints when this VM's links to all of them are in doubt, and while they are cut.
 *
 * <p>Invariant: every loss is reported to the leader; one that is observed while the links are in doubt is held until the
 * probes have decided what this VM believes of them. Thread safe: holds no lock of its own.
 */
final class LinkMonitor {
    /** The end of an attempt that a crash of its endpoint would explain, and so would a failure of this VM's links. */
    private record Loss(String requestDigest, EndpointIncarnation endpoint, long lostNanos) {}

    private final CallerDependencies dependencies;
    private final EndpointLinks links;
    private final AtomicLong stateSinceNanos;
    private final Queue<Loss> undecidedLosses = new ConcurrentLinkedQueue<>();

    LinkMonitor(CallerDependencies dependencies) {
        this.dependencies = dependencies;
        this.links = dependencies.entry().links();
        this.stateSinceNanos = new AtomicLong(dependencies.entry().nowNanos());
    }

    LinkState state() {
        return links.state();
    }

    /** Records that a connection to an endpoint could not be opened or was lost. */
    void recordFailure(EndpointIncarnation endpoint) {
        if (links.recordFailure(endpoint)) {
            logState(LinkState.IN_DOUBT);
            dependencies.workers().execute(this::startRound);
        }
    }

    /** Records that an endpoint was lost while it ran a request, or that this VM lost its links to it. */
    void recordLoss(String requestDigest, EndpointIncarnation endpoint) {
        recordFailure(endpoint);
        undecidedLosses.add(
                new Loss(requestDigest, endpoint, dependencies.entry().nowNanos()));
        decideLosses();
    }

    /** Records that an endpoint responded on a new connection. */
    void recordOpened() {
        if (links.recordOpened()) {
            logState(LinkState.WORKING);
            decideLosses();
        }
    }

    /** Reports the losses so far to the leader, with the state of this VM's links; holds them while that is in doubt. */
    private void decideLosses() {
        final LinkState state = links.state();
        if (state == LinkState.IN_DOUBT) {
            return;
        }
        final SuspectTable suspects = dependencies.entry().suspects();
        boolean any = false;
        for (Loss loss = undecidedLosses.poll(); loss != null; loss = undecidedLosses.poll()) {
            suspects.connectionLost(
                    loss.requestDigest(), loss.endpoint(), !state.showsEndpointFaults(), loss.lostNanos());
            any = true;
        }
        if (any) {
            dependencies.requestViewPull().run();
        }
    }

    private void startRound() {
        final ProbeRound<EndpointView> round =
                links.startRound(dependencies.entry().view().allEndpoints());
        if (round.targets().isEmpty()) {
            logState(LinkState.WORKING);
            decideLosses();
        }
        round.targets().forEach(endpoint -> dependencies.workers().execute(() -> probe(endpoint, round.number())));
    }

    private void probe(EndpointView endpoint, long round) {
        final HostAndPort target = HostAndPort.fromString(dependencies.client().reachableAddress(endpoint.address()));
        final long startedNanos = dependencies.entry().nowNanos();
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(InetAddresses.forString(target.getHost()), target.getPort()),
                    EndpointReachability.PROBE_TIMEOUT_MS);
            recordOpened();
        } catch (IOException e) {
            final long elapsedNanos = dependencies.entry().nowNanos() - startedNanos;
            dependencies
                    .events()
                    .write(
                            LogEvent.ENDPOINT_CONNECT_FAILED,
                            endpoint.id(),
                            target,
                            LogEvent.PROBE,
                            TimeUnit.NANOSECONDS.toMillis(elapsedNanos),
                            e);
            final boolean wasInDoubt = links.state() == LinkState.IN_DOUBT;
            if (links.recordProbeFailed(round)) {
                if (wasInDoubt) {
                    logState(LinkState.CUT);
                    decideLosses();
                    dependencies.requestViewPull().run();
                }
                dependencies.scheduler().schedule(this::probeAgain, EndpointReachability.PROBE_INTERVAL_MS);
            }
        }
    }

    private void probeAgain() {
        if (links.state() == LinkState.CUT) {
            dependencies.workers().execute(this::startRound);
        }
    }

    private void logState(LinkState state) {
        final long nowNanos = dependencies.entry().nowNanos();
        final long elapsedNanos = nowNanos - stateSinceNanos.getAndSet(nowNanos);
        dependencies
                .events()
                .write(
                        LogEvent.ENDPOINT_LINKS_CHANGED,
                        state.code(),
                        links.failedEndpoints(),
                        TimeUnit.NANOSECONDS.toMillis(elapsedNanos),
                        dependencies.entry().view().relayAddresses().size());
        dependencies.metrics().setEndpointLinksCut(links.state() == LinkState.CUT);
    }
}

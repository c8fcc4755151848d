package org.wigeongrade.fleet.entry;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wigeongrade.clock.NodeClocks;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.balancing.Balancer;
import org.wigeongrade.decisions.balancing.RetryBudgetShare;
import org.wigeongrade.decisions.overload.RankedTargets;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.MetricsListener;
import org.wigeongrade.fleet.control.DocumentReader;
import org.wigeongrade.fleet.net.CallHandlers;
import org.wigeongrade.fleet.net.ClientClosings;
import org.wigeongrade.fleet.net.ClientLimits;
import org.wigeongrade.fleet.net.ClientMemory;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.HttpRequestHandler;
import org.wigeongrade.fleet.net.RequestIntake;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.settings.FleetKey;
import org.wigeongrade.settings.FleetSettings;
import org.wigeongrade.settings.NodeAddress;

/**
 * A process in the entry role: it forwards callers' requests to endpoints.
 *
 * <p>Invariant: a graceful stop first fails the readiness check, keeps serving new requests until the load balancer in
 * front of the entry nodes has reacted, then refuses them, and ends when no request is in flight. Thread safe.
 */
public final class EntryNode {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int MAX_READINESS_BYTES = 1024;
    /** Idle time of a connection for readiness checks, in seconds; many times the interval of the checks. */
    private static final int READINESS_IDLE_S = 30;
    /**
     * Requests with API keys are sent while the view is younger than this fraction of the time in which a key must be
     * revoked; the rest covers the time in transit.
     */
    private static final double KEY_AGE_FRACTION = 0.85;
    /**
     * Fraction of that time after which the node is not ready, so that callers are sent elsewhere before it refuses
     * them.
     */
    private static final double READY_AGE_FRACTION = 0.5;
    /**
     * The load balancer checks readiness once a second and acts on the second failure; the third second is for
     * connections that are already being opened.
     */
    private static final long BALANCER_REACTION_MS = 3_000;
    /** Idle connections are closed this long after the stop began, once the load balancer has reacted. */
    private static final long CLOSE_IDLE_AFTER_MS = 2_300;
    /** Longest time for the body of a request, in milliseconds; callers' links carry the largest one in far less. */
    private static final long BODY_TIMEOUT_MS = 30_000;
    /** Fraction of the time before the process is killed in which requests may finish. */
    private static final double GRACE_FRACTION = 0.9;

    /** Room for the headers that entry nodes add to relayed requests. */
    private static final int RELAY_HEADER_BYTES = 1_024;

    private static final long STOP_POLL_MS = 50;
    /** Time for the errors of requests that could not finish to reach their callers, in milliseconds. */
    private static final long FLUSH_MS = 200;

    private final FleetSettings settings;
    private final CallerCodec codec;
    private final EventLog events;
    private final Metrics metrics;
    private final NodeClocks clocks = NodeClocks.system();
    private final WaitClock waitClock = clocks.waitClock();
    private final SharedEventLoop loop = new SharedEventLoop();
    private final CallerConnections connections = new CallerConnections();
    private final ClientMemory clientMemory;
    private final ControlDirectory directory;
    private final EndpointRegistry registry;
    private final ViewPuller viewPuller;
    private final EntryServices services;
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private HttpListener callerListener;
    private HttpListener relayListener;

    public EntryNode(
            FleetSettings settings, DocumentReader reader, CallerCodec codec, EventLog events, Metrics metrics) {
        this.settings = settings;
        this.codec = codec;
        this.events = events;
        this.metrics = metrics;
        this.clientMemory = new ClientMemory(
                ClientLimits.heldBytes((long) settings.number(FleetKey.MAX_HELD_BYTES)),
                ClientLimits.connections((long) settings.number(FleetKey.MAX_DESCRIPTORS)),
                waitClock);
        this.directory = new ControlDirectory(
                settings.logPort(),
                settings.fleetPort(),
                settings.controlPort(),
                settings.seeds().stream().map(NodeAddress::ip).toList());
        this.registry = new EndpointRegistry(
                events,
                metrics,
                settings.ms(FleetKey.MAX_PAUSE_S),
                settings.ms(FleetKey.HEARTBEAT_MS),
                clocks.leaseClock().now(),
                waitClock.nowNanos());
        this.viewPuller = new ViewPuller(
                settings.name(),
                settings.availabilityZone(),
                directory,
                registry,
                loop,
                new ConfigurationCache(reader),
                events,
                waitClock,
                clocks.leaseClock(),
                this::relayAddress);
        final SplittableRandom random = new SplittableRandom();
        final EndpointConnectionPool connectionPool =
                new EndpointConnectionPool(loop, codec, settings.endpointGatewayIp(), events, metrics, waitClock);
        this.services = new EntryServices(
                settings.availabilityZone(),
                loop,
                codec,
                registry,
                connectionPool,
                new EndpointLinks(loop, connectionPool, registry, events, metrics, waitClock),
                new RelayPeers(random),
                new BufferedBodies((long) settings.number(FleetKey.MAX_HELD_BYTES), (int)
                        settings.number(FleetKey.MAX_RESPONSE_BYTES)),
                new Balancer(random),
                new RankedTargets(random),
                new RetryBudgetShare(
                        settings.number(FleetKey.RETRY_RATIO),
                        settings.number(FleetKey.RETRY_SLACK),
                        TimeUnit.MILLISECONDS.toNanos(settings.ms(FleetKey.RETRY_WINDOW_S))),
                new ColdStartLimits(
                        settings.number(FleetKey.COLD_BURST_FACTOR),
                        settings.number(FleetKey.COLD_MARGIN),
                        settings.name().value().hashCode()),
                random,
                events,
                metrics,
                waitClock,
                clocks.leaseClock(),
                revokeTimeNanos(KEY_AGE_FRACTION),
                TimeUnit.MILLISECONDS.toNanos(settings.ms(FleetKey.CONFIG_APPLY_MS)));
    }

    /** Starts serving callers, readiness checks and metrics. */
    public void start() {
        viewPuller.start();
        callerListener = HttpListener.open(
                loop,
                settings.callerListen().orElseThrow().toSocketAddress(),
                () -> callerLimits().maxHeaderBytes(),
                pipeline -> addCallerHandlers(pipeline, false));
        relayListener = HttpListener.open(
                loop,
                new InetSocketAddress(settings.bindIp(), settings.relayPort()),
                () -> callerLimits().maxHeaderBytes() + RELAY_HEADER_BYTES,
                pipeline -> addCallerHandlers(pipeline, true));
        HttpListener.open(
                loop,
                settings.readinessListen().orElseThrow().toSocketAddress(),
                CallerLimits.DEFAULT.maxHeaderBytes(),
                pipeline -> readinessHandlers()
                        .addTo(pipeline, call -> CompletableFuture.completedFuture(respondToReadinessCheck(call))));
        MetricsListener.open(
                loop,
                new InetSocketAddress(settings.bindIp(), settings.metricsPort()),
                metrics,
                clientMemory,
                new ClientClosings(metrics, events));
        events.write(
                LogEvent.NODE_STARTED,
                settings.name(),
                settings.availabilityZone(),
                settings.callerListen().get());
    }

    /** Starts a graceful stop and returns immediately. */
    public void stop() {
        if (stopRequested.compareAndSet(false, true)) {
            new Thread(this::stopGracefully, "stop").start();
        }
    }

    /** Waits until the node has stopped. */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /** Adds the seeds that the changed settings name. */
    public void reload(FleetSettings changed) {
        directory.addControlVms(changed.seeds().stream().map(NodeAddress::ip).toList());
    }

    private void addCallerHandlers(ChannelPipeline pipeline, boolean fromEntryNode) {
        final RequestIntake intake = new RequestIntake(
                clientMemory,
                () -> callerLimits().headerTimeoutMs(),
                BODY_TIMEOUT_MS,
                new ClientClosings(metrics, events));
        intake.addTo(pipeline);
        pipeline.addLast(new HttpObjectAggregator(callerLimits().maxBodyBytes()))
                .addLast(new CallerConnection(services, connections, intake, fromEntryNode));
    }

    private CallHandlers readinessHandlers() {
        return new CallHandlers(
                clientMemory,
                MAX_READINESS_BYTES,
                CallerLimits.DEFAULT.headerTimeoutMs(),
                CallerLimits.DEFAULT.headerTimeoutMs(),
                READINESS_IDLE_S,
                new ClientClosings(metrics, events));
    }

    private CallerLimits callerLimits() {
        return registry.view()
                .configuration()
                .map(PublishedConfiguration::limits)
                .orElse(CallerLimits.DEFAULT);
    }

    private HttpReply respondToReadinessCheck(HttpRequestHandler.Request call) {
        if (!codec.isReadinessCheck(call.method(), call.path())) {
            return HttpReply.text(NOT_FOUND, "only the readiness check is served here\n");
        }
        final boolean viewIsFresh = registry.view().configuration().isPresent()
                && clocks.leaseClock().now().nanosSince(registry.view().pullSent())
                        < revokeTimeNanos(READY_AGE_FRACTION);
        final boolean ready = viewIsFresh && !stopRequested.get() && canServe();
        return HttpReply.text(ready ? OK : UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    private boolean canServe() {
        return registry.linkState().sendsDirectly()
                || !registry.view().relayAddresses().isEmpty();
    }

    /** Returns where other entry nodes may relay requests to; empty while this node reaches no endpoint or stops. */
    private Optional<String> relayAddress() {
        final boolean takesRequests = registry.linkState().sendsDirectly() && !stopRequested.get();
        return takesRequests ? Optional.of(settings.ip() + ":" + settings.relayPort()) : Optional.empty();
    }

    private long revokeTimeNanos(double fraction) {
        return TimeUnit.MILLISECONDS.toNanos(Math.round(fraction * settings.ms(FleetKey.REVOKE_MS)));
    }

    private void stopGracefully() {
        final long startNanos = waitClock.nowNanos();
        events.write(LogEvent.NODE_STOPPING, settings.name(), "a signal", "-");
        final long graceMs = Math.round(GRACE_FRACTION * settings.ms(FleetKey.GRACE_S));
        final long stopDeadlineNanos = waitClock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(graceMs);
        loop.eventLoop().execute(() -> {
            connections.closeAfterNextResponse();
            connections.limitNewRequests(stopDeadlineNanos);
        });
        sleepUntil(startNanos, CLOSE_IDLE_AFTER_MS);
        loop.eventLoop().execute(connections::closeIdle);
        sleepUntil(startNanos, BALANCER_REACTION_MS);
        callerListener.close();
        relayListener.close();
        loop.eventLoop().execute(connections::refuseNewRequests);
        awaitRequests(startNanos, graceMs);
        loop.eventLoop().execute(connections::failUnfinished);
        awaitRequests(startNanos, graceMs + FLUSH_MS);
        viewPuller.close();
        loop.close();
        events.write(LogEvent.NODE_STOPPED, settings.name(), elapsedMs(startNanos));
        stopped.countDown();
    }

    /** Waits until no request is in flight, until {@code untilMs} after the start of the stop at most. */
    private void awaitRequests(long startNanos, long untilMs) {
        while (awaitedRequests() > 0 && elapsedMs(startNanos) < untilMs) {
            sleepUntil(waitClock.nowNanos(), STOP_POLL_MS);
        }
    }

    private int awaitedRequests() {
        return CompletableFuture.supplyAsync(this::closeIdleConnections, loop.eventLoop())
                .join();
    }

    /** Closes what has become idle since the last call and returns the number of requests in flight. */
    private int closeIdleConnections() {
        connections.closeIdle();
        return connections.inFlight();
    }

    private long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(waitClock.nowNanos() - startNanos);
    }

    private void sleepUntil(long startNanos, long afterMs) {
        final long leftMs = afterMs - elapsedMs(startNanos);
        if (leftMs > 0) {
            com.google.common.util.concurrent.Uninterruptibles.sleepUninterruptibly(leftMs, TimeUnit.MILLISECONDS);
        }
    }
}

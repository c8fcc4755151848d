package org.wigeongrade.fleet.entry;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wigeongrade.decisions.balancing.Balancer;
import org.wigeongrade.decisions.balancing.RetryAllowance;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.MetricsListener;
import org.wigeongrade.fleet.SuspendAwareClock;
import org.wigeongrade.fleet.control.DocumentReader;
import org.wigeongrade.fleet.net.CallServer;
import org.wigeongrade.fleet.net.EventLoop;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.settings.FleetKey;
import org.wigeongrade.settings.FleetSettings;
import org.wigeongrade.settings.NodeAddress;

/**
 * A process of the entry role.
 *
 * <p>Invariant: a stop fails the readiness check first, goes on serving what arrives until the balancer has noticed, then
 * ends when nothing is in flight. Thread safe.
 */
public final class EntryNode {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int MAX_READINESS_BYTES = 1024;
    /** Part of the time for which a key may still be used that a view may be old; the rest covers the way. */
    private static final double KEYED_PART = 0.85;
    /** Part of that time after which the node is not ready any more, so that callers go elsewhere before it refuses. */
    private static final double READY_PART = 0.5;
    /** The balancer asks once a second and acts on the second miss; then a second for connections on their way. */
    private static final long NOTICED_MS = 3_000;
    /** Idle connections are closed once the balancer has noticed. */
    private static final long CLOSE_IDLE_MS = 2_300;
    /** Part of the time to the kill in which requests may end. */
    private static final double GRACE_PART = 0.9;

    private static final long STOP_POLL_MS = 50;

    private final FleetSettings settings;
    private final CallerCodec codec;
    private final EventLog events;
    private final Metrics metrics;
    private final SuspendAwareClock clock = new SuspendAwareClock();
    private final EventLoop loop = new EventLoop();
    private final CallerConnections connections = new CallerConnections();
    private final ControlDirectory directory;
    private final EndpointFleet fleet;
    private final ViewClient views;
    private final EntryServices services;
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private HttpListener callerListener;

    public EntryNode(
            FleetSettings settings, DocumentReader reader, CallerCodec codec, EventLog events, Metrics metrics) {
        this.settings = settings;
        this.codec = codec;
        this.events = events;
        this.metrics = metrics;
        this.directory = new ControlDirectory(
                settings.logPort(),
                settings.fleetPort(),
                settings.controlPort(),
                settings.seeds().stream().map(NodeAddress::ip).toList());
        this.fleet = new EndpointFleet(events, clock.getAsLong());
        this.views = new ViewClient(
                settings.name(),
                settings.availabilityZone(),
                directory,
                fleet,
                loop,
                new ConfigurationCache(reader),
                events,
                clock);
        final SplittableRandom random = new SplittableRandom();
        this.services = new EntryServices(
                settings.availabilityZone(),
                loop,
                codec,
                fleet,
                new EndpointConnections(loop, codec, clock),
                new Balancer(random),
                new RetryAllowance(
                        settings.number(FleetKey.RETRY_RATIO),
                        settings.number(FleetKey.RETRY_SLACK),
                        TimeUnit.MILLISECONDS.toNanos(settings.ms(FleetKey.RETRY_WINDOW_S))),
                new ColdLimits(settings.number(FleetKey.COLD_BURST_FACTOR), settings.number(FleetKey.COLD_MARGIN)),
                random,
                events,
                metrics,
                clock,
                revokeNanos(KEYED_PART));
    }

    /** Begins to serve. */
    public void start() {
        views.start();
        callerListener = HttpListener.open(
                loop,
                settings.callerListen().orElseThrow().toSocketAddress(),
                CallerLimits.DEFAULT.maxHeaderBytes(),
                this::addCallerHandlers);
        HttpListener.open(
                loop,
                settings.readinessListen().orElseThrow().toSocketAddress(),
                CallerLimits.DEFAULT.maxHeaderBytes(),
                pipeline -> pipeline.addLast(new HttpObjectAggregator(MAX_READINESS_BYTES))
                        .addLast(new CallServer(call -> CompletableFuture.completedFuture(readiness(call)))));
        MetricsListener.open(loop, new InetSocketAddress(settings.bindIp(), settings.metricsPort()), metrics);
        events.write(
                LogEvent.NODE_STARTED,
                settings.name(),
                settings.availabilityZone(),
                settings.callerListen().get());
    }

    /** Begins a graceful stop and returns at once. */
    public void stop() {
        if (stopRequested.compareAndSet(false, true)) {
            new Thread(this::stopGracefully, "stop").start();
        }
    }

    /** Waits until the node has stopped. */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /** Takes up seeds that the settings name now. */
    public void reload(FleetSettings changed) {
        directory.learn(changed.seeds().stream().map(NodeAddress::ip).toList());
    }

    private void addCallerHandlers(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpObjectAggregator(CallerLimits.DEFAULT.maxBodyBytes()))
                .addLast(new CallerConnection(services, connections));
    }

    private HttpReply readiness(CallServer.Call call) {
        if (!codec.isReadinessCall(call.method(), call.path())) {
            return HttpReply.text(NOT_FOUND, "only the readiness check is served here\n");
        }
        final boolean known = fleet.view().configuration().isPresent()
                && clock.getAsLong() - fleet.view().sentNanos() < revokeNanos(READY_PART);
        final boolean ready = known && !stopRequested.get();
        return HttpReply.text(ready ? OK : UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    private long revokeNanos(double part) {
        return TimeUnit.MILLISECONDS.toNanos(Math.round(part * settings.ms(FleetKey.REVOKE_MS)));
    }

    private void stopGracefully() {
        final long startNanos = System.nanoTime();
        events.write(LogEvent.NODE_STOPPING, settings.name(), "a signal", "-");
        loop.loop().execute(connections::closeWithNextAnswer);
        sleepUntil(startNanos, CLOSE_IDLE_MS);
        loop.loop().execute(connections::closeIdle);
        sleepUntil(startNanos, NOTICED_MS);
        callerListener.close();
        final long graceMs = Math.round(GRACE_PART * settings.ms(FleetKey.GRACE_S));
        while (inFlight() > 0 && elapsedMs(startNanos) < graceMs) {
            sleepUntil(System.nanoTime(), STOP_POLL_MS);
        }
        views.close();
        loop.close();
        events.write(LogEvent.NODE_STOPPED, settings.name(), elapsedMs(startNanos));
        stopped.countDown();
    }

    private int inFlight() {
        return CompletableFuture.supplyAsync(connections::inFlight, loop.loop()).join();
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static void sleepUntil(long startNanos, long afterMs) {
        final long leftMs = afterMs - elapsedMs(startNanos);
        if (leftMs > 0) {
            com.google.common.util.concurrent.Uninterruptibles.sleepUninterruptibly(leftMs, TimeUnit.MILLISECONDS);
        }
    }
}

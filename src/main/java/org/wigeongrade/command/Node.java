package org.wigeongrade.command;

import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.wigeongrade.callers.CallerApi;
import org.wigeongrade.callers.CallerDependencies;
import org.wigeongrade.callers.HttpErrorHandler;
import org.wigeongrade.callers.InFlightRequests;
import org.wigeongrade.callers.TaskScheduler;
import org.wigeongrade.clock.NodeClocks;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.endpoints.EndpointApi;
import org.wigeongrade.endpoints.EndpointClient;
import org.wigeongrade.endpoints.OrderSender;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.nodes.ColdSignBroadcaster;
import org.wigeongrade.nodes.FleetExplanations;
import org.wigeongrade.nodes.LeaderClient;
import org.wigeongrade.nodes.NodeServer;
import org.wigeongrade.nodes.NodeServiceHandler;
import org.wigeongrade.nodes.NodeTimings;
import org.wigeongrade.nodes.PeerClient;
import org.wigeongrade.nodes.control.ControlRole;
import org.wigeongrade.nodes.control.FleetMetrics;
import org.wigeongrade.nodes.control.PlacementLoop;
import org.wigeongrade.nodes.entry.EntryRole;
import org.wigeongrade.nodes.entry.ViewPuller;
import org.wigeongrade.nodes.log.LogSettings;
import org.wigeongrade.nodes.log.RaftReplicatedLog;
import org.wigeongrade.nodes.thrift.NodeService;
import org.wigeongrade.operators.HealthApi;
import org.wigeongrade.operators.OperatorApi;
import org.wigeongrade.settings.NodeAddress;
import org.wigeongrade.settings.NodeSettings;
import org.wigeongrade.settings.PeerSettings;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.registry.RegistrySpec;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * One process of this system: the entry role, and the control role on a VM with a data folder.
 *
 * <p>Invariant: a graceful stop first fails the health check, then refuses new requests, then waits for those in
 * flight, and finally closes the roles. Thread safe.
 */
public final class Node implements NodeProcess {
    private static final int THRIFT_WORKER_THREADS = 8;
    private static final int CLAIM_WORKER_THREADS = 16;
    /** Time between failing the health check and refusing requests, so that the load balancer stops sending first. */
    private static final long BALANCER_DRAIN_DELAY_MS = 1_000;

    private static final int LOG_FAILURE_EXIT_CODE = 70;

    private final NodeSettings settings;
    private final EventLog events;
    private final Metrics metrics;
    private final NodeTimings timings;
    private final NodeClocks clocks = NodeClocks.system();
    private final WaitClock waitClock = clocks.waitClock();
    private final LongSupplier epochMsClock = System::currentTimeMillis;
    private final EntryRole entryRole;
    private final InFlightRequests inFlight;
    private final EndpointClient endpointClient;
    private final ImmutableMap<NodeName, PeerClient> peers;
    private final ScheduledThreadPoolExecutor scheduler =
            new ScheduledThreadPoolExecutor(1, daemonThreadFactory("timer"));
    private final ExecutorService workers =
            Executors.newFixedThreadPool(CLAIM_WORKER_THREADS, daemonThreadFactory("worker-%d"));
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private Optional<ControlRole> controlRole = Optional.empty();
    private Optional<PlacementLoop> placementLoop = Optional.empty();
    private NodeServer nodeServer;
    private ViewPuller viewPuller;
    private RatpackServer httpServer;

    public Node(NodeSettings settings, EventLog events, Metrics metrics) {
        this.settings = settings;
        this.events = events;
        this.metrics = metrics;
        this.timings = NodeTimings.of(settings.limits());
        this.entryRole = new EntryRole(
                settings.name(),
                settings.availabilityZone(),
                advertisedAddress(settings),
                settings.limits().pullIntervalMs(),
                waitClock,
                clocks.leaseClock());
        this.inFlight = new InFlightRequests(metrics);
        this.endpointClient =
                new EndpointClient(settings.endpointGatewayIp(), waitClock, metrics::countInvalidResponse);
        this.peers = settings.otherPeers().stream()
                .collect(ImmutableMap.toImmutableMap(
                        PeerSettings::name,
                        peer -> new PeerClient(peer.peerAddress().toSocketAddress(), (int)
                                settings.limits().connectTimeoutMs())));
    }

    @Override
    public void start() {
        try {
            startRoles();
        } catch (WigeongradeException e) {
            throw e;
        } catch (Exception failure) {
            throw new WigeongradeException(
                    ErrorKind.INTERNAL, "node " + settings.name() + " did not start: " + failure, failure);
        }
        events.write(LogEvent.NODE_STARTED, settings.name(), settings.availabilityZone(), settings.listen());
    }

    @Override
    public void stop() {
        if (stopRequested.compareAndSet(false, true)) {
            new Thread(this::stopGracefully, "stop").start();
        }
    }

    @Override
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    private void startRoles() throws Exception {
        controlRole = settings.logListen().map(this::openControlRole);
        final LeaderClient leaderClient = new LeaderClient(settings.name(), controlRole, controlPeers(), waitClock);
        viewPuller = new ViewPuller(
                entryRole,
                leaderClient,
                events,
                metrics,
                epochMsClock.getAsLong(),
                settings.limits().pullIntervalMs());
        nodeServer = new NodeServer(
                settings.peerListen().toSocketAddress(),
                new NodeService.Processor<>(new NodeServiceHandler(entryRole, controlRole)),
                THRIFT_WORKER_THREADS);
        nodeServer.start();
        httpServer = RatpackServer.of(server -> server.serverConfig(serverConfig())
                .registryOf(this::addErrorHandlers)
                .handlers(chain -> addHandlers(chain, leaderClient)));
        httpServer.start();
        viewPuller.start();
        placementLoop.ifPresent(PlacementLoop::start);
    }

    private static String advertisedAddress(NodeSettings settings) {
        if (!settings.listen().isWildcard()) {
            return settings.listen().toString();
        }
        final String ip = settings.peer(settings.name())
                .map(peer -> peer.peerAddress().ip())
                .orElse(settings.listen().ip());
        return new NodeAddress(ip, settings.listen().port()).toString();
    }

    private void addErrorHandlers(RegistrySpec registry) {
        final HttpErrorHandler errorHandler = new HttpErrorHandler(metrics, events);
        registry.add(ClientErrorHandler.class, errorHandler);
        registry.add(ServerErrorHandler.class, errorHandler);
    }

    private ServerConfig serverConfig() {
        final InetSocketAddress address = settings.listen().toSocketAddress();
        return ServerConfig.builder()
                .address(address.getAddress())
                .port(address.getPort())
                .threads(settings.limits().workerThreads())
                .idleTimeout(Duration.ofMillis(
                        settings.limits().requestTimeoutMs() + settings.limits().stallTimeoutMs()))
                .registerShutdownHook(false)
                .development(false)
                .build();
    }

    private ControlRole openControlRole(NodeAddress logListen) {
        final Map<NodeName, InetSocketAddress> logPeers = settings.controlPeers().stream()
                .filter(peer -> !peer.name().equals(settings.name()))
                .collect(Collectors.toMap(
                        PeerSettings::name,
                        peer -> peer.logAddress().orElseThrow().toSocketAddress()));
        final LogSettings logSettings = LogSettings.of(
                settings.name(), settings.dataFolder().orElseThrow(), logListen.toSocketAddress(), logPeers);
        return new ControlRole(
                settings.name(),
                timings,
                stateMachine -> RaftReplicatedLog.open(
                        logSettings, stateMachine, waitClock, clocks.leaseClock(), this::haltOnLogFailure),
                waitClock,
                epochMsClock,
                events);
    }

    /** Ends the process at once: a replica whose disk or digest chain failed must not continue to serve. */
    private void haltOnLogFailure(RuntimeException failure) {
        events.writeWithStackTrace(
                LogEvent.DISK_FAILED, failure, settings.dataFolder().orElseThrow(), failure.getMessage());
        Runtime.getRuntime().halt(LOG_FAILURE_EXIT_CODE);
    }

    private ImmutableMap<NodeName, PeerClient> controlPeers() {
        return settings.controlPeers().stream()
                .map(PeerSettings::name)
                .filter(name -> !name.equals(settings.name()))
                .collect(ImmutableMap.toImmutableMap(name -> name, peers::get));
    }

    private void addHandlers(Chain chain, LeaderClient leaderClient) throws Exception {
        final TaskScheduler taskScheduler = (task, delayMs) -> {
            final var unused = scheduler.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        };
        final CallerDependencies dependencies = new CallerDependencies(
                entryRole,
                leaderClient,
                endpointClient,
                new ColdSignBroadcaster(entryRole, peers, workers, viewPuller::requestPull, events),
                viewPuller::requestPull,
                taskScheduler,
                workers,
                epochMsClock,
                metrics,
                events,
                settings.limits());
        placementLoop = controlRole.map(role -> createPlacementLoop(role));
        chain.insert(new HealthApi(entryRole, metrics));
        chain.insert(new EndpointApi(entryRole));
        chain.insert(new OperatorApi(
                entryRole,
                leaderClient,
                new FleetExplanations(entryRole, controlRole, leaderClient, peers),
                events,
                epochMsClock,
                this::stop));
        chain.insert(new CallerApi(dependencies, inFlight));
    }

    private PlacementLoop createPlacementLoop(ControlRole role) {
        final OrderSender orders =
                new OrderSender(endpointClient, events, waitClock, Duration.ofNanos(timings.orderTimeoutNanos()));
        return new PlacementLoop(role, orders, new FleetMetrics(metrics, events), events);
    }

    private void stopGracefully() {
        final long startNanos = waitClock.nowNanos();
        events.write(LogEvent.NODE_STOPPING, settings.name(), "an operator's request or a signal", inFlight.count());
        entryRole.leave();
        Uninterruptibles.sleepUninterruptibly(BALANCER_DRAIN_DELAY_MS, TimeUnit.MILLISECONDS);
        entryRole.stop();
        awaitRequestsInFlight();
        viewPuller.requestPull();
        Uninterruptibles.sleepUninterruptibly(settings.limits().pullIntervalMs(), TimeUnit.MILLISECONDS);
        closeRoles();
        final long elapsedMs = TimeUnit.NANOSECONDS.toMillis(waitClock.nowNanos() - startNanos);
        events.write(LogEvent.NODE_STOPPED, settings.name(), elapsedMs);
        stopped.countDown();
    }

    private void awaitRequestsInFlight() {
        try {
            if (!inFlight.awaitNone(settings.limits().stopDeadlineMs())) {
                events.write(LogEvent.NODE_STOP_CUT_SHORT, settings.name(), inFlight.count(), "the stop deadline");
            }
        } catch (InterruptedException interrupted) {
            events.write(LogEvent.NODE_STOP_CUT_SHORT, settings.name(), inFlight.count(), "an interrupt");
        }
    }

    private void closeRoles() {
        placementLoop.ifPresent(PlacementLoop::close);
        viewPuller.close();
        stopHttp();
        endpointClient.close();
        nodeServer.close();
        controlRole.ifPresent(ControlRole::close);
        workers.shutdown();
        scheduler.shutdownNow();
        peers.values().forEach(PeerClient::close);
    }

    private void stopHttp() {
        try {
            httpServer.stop();
        } catch (Exception failure) {
            events.writeWithStackTrace(
                    LogEvent.NODE_STOP_CUT_SHORT, failure, settings.name(), inFlight.count(), failure);
        }
    }

    private static ThreadFactory daemonThreadFactory(String nameFormat) {
        return new ThreadFactoryBuilder()
                .setNameFormat(nameFormat)
                .setDaemon(true)
                .build();
    }
}

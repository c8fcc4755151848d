package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.wigeongrade.clock.NodeClocks;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.grouping.GroupTimings;
import org.wigeongrade.decisions.log.CoreSettings;
import org.wigeongrade.decisions.log.LogTimings;
import org.wigeongrade.decisions.log.VoterPolicy;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.decisions.published.ViewConfirmations;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.MetricsListener;
import org.wigeongrade.fleet.net.CallHandlers;
import org.wigeongrade.fleet.net.ClientClosings;
import org.wigeongrade.fleet.net.ClientLimits;
import org.wigeongrade.fleet.net.ClientMemory;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.HttpRequestHandler;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.FleetService;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.nodes.NodeServer;
import org.wigeongrade.nodes.log.LogSettings;
import org.wigeongrade.nodes.log.RaftReplicatedLog;
import org.wigeongrade.settings.FleetKey;
import org.wigeongrade.settings.FleetSettings;
import org.wigeongrade.settings.NodeAddress;

/** A control node process. Thread safe; the lock on {@code exchanges} is always acquired last. */
public final class ControlNode implements AutoCloseable {
    /** Threads that serve calls from other nodes; each call takes a few milliseconds. */
    private static final int WORKER_THREADS = 4;
    /** Largest body of a call, in bytes; of a configuration, the log accepts less. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final int MAX_HEADER_BYTES = 16 * 1024;
    /** Time for the head of a call, in milliseconds; heads of endpoint VMs and operators fit into one packet. */
    private static final long HEAD_TIMEOUT_MS = 3_000;
    /** Time for the body of a call, in milliseconds; the largest configuration takes a small part of it. */
    private static final long BODY_TIMEOUT_MS = 9_000;
    /** Memory for the bodies of calls that are not answered, in bytes; several configurations and all heartbeats. */
    private static final long MAX_HELD_BYTES = 24 * 1024 * 1024;
    /**
     * Time without a byte, in seconds, after which a connection of an endpoint VM or operator is closed: several
     * heartbeat intervals, as the VM may have ended or found another leader without closing it.
     */
    private static final int IDLE_TIMEOUT_S = 10;
    /**
     * Heartbeat interval 120 ms, election timeout 600 to 1,100 ms, lease 500 ms. Callers wait this long when all
     * control VMs restart.
     */
    private static final LogTimings LOG_TIMINGS = LogTimings.ofMs(120, 600, 1_100, 500);
    /** Silence after which a replacement VM becomes a voter in place of a silent one; longer than any restart. */
    private static final long REPLACE_SILENT_VOTER_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Time after which changes are accepted even if the fleet has fewer control VMs than it needs. */
    private static final long UNDERSIZED_FLEET_WAIT_NANOS = TimeUnit.SECONDS.toNanos(12);

    private static final int DISK_FAILURE_EXIT_STATUS = 70;

    private final FleetSettings settings;
    private final EventLog events;
    private final Metrics metrics;
    private final NodeClocks clocks = NodeClocks.system();
    private final WaitClock waitClock = clocks.waitClock();
    private final NodeName self;
    private final ControlDirectory directory;
    private final VmRegistry registry;
    private final HeartbeatRelay heartbeatRelay = new HeartbeatRelay();
    private final PeerFormats peerFormats = new PeerFormats();
    private final PublishedStateMachine stateMachine = new PublishedStateMachine();
    private final DocumentHistory documentHistory = new DocumentHistory();
    private final ViewConfirmations viewConfirmations = new ViewConfirmations();
    private final SharedEventLoop loop = new SharedEventLoop();
    private final ClientMemory clientMemory;
    private final Map<String, PeerExchange> exchanges = new HashMap<>();
    private final long startedNanos = waitClock.nowNanos();
    private final RaftReplicatedLog log;
    private final LeaderLoop leaderLoop;
    private final ControlRequestHandler requestHandler;
    private final NodeServer nodeServer;
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private HttpListener listener;

    public ControlNode(
            FleetSettings settings,
            DocumentReader reader,
            OrderCodec orderCodec,
            VmIdentityCodec identityCodec,
            EventLog events,
            Metrics metrics) {
        this.settings = settings;
        this.events = events;
        this.metrics = metrics;
        this.self = NodeName.of(settings.ip());
        this.clientMemory = new ClientMemory(
                ClientLimits.heldBytes(MAX_HELD_BYTES),
                ClientLimits.connections((long) settings.number(FleetKey.MAX_DESCRIPTORS)),
                waitClock);
        this.directory = new ControlDirectory(
                settings.logPort(),
                settings.fleetPort(),
                settings.controlPort(),
                settings.seeds().stream().map(NodeAddress::ip).toList());
        this.log = openLog();
        final GroupTimings timings = new GroupTimings(
                TimeUnit.MILLISECONDS.toNanos(settings.ms(FleetKey.HEARTBEAT_MS)),
                TimeUnit.MILLISECONDS.toNanos(settings.ms(FleetKey.STALL_MS)));
        final ConfigurationCache configurations = new ConfigurationCache(reader);
        final ConfiguredServices services = new ConfiguredServices(stateMachine, configurations);
        this.registry = new VmRegistry(services::mayName);
        final OneShotHttpClient endpointClient = new OneShotHttpClient(loop, metrics::countInvalidResponse);
        final ConflictInvestigator conflicts = new ConflictInvestigator(
                registry,
                services,
                endpointClient,
                identityCodec,
                log::isLeaderWithLease,
                timings.silentNanos(),
                this::handleContestedRecorded,
                events,
                waitClock);
        final HeartbeatIntake heartbeats = new HeartbeatIntake(registry, conflicts, events);
        this.leaderLoop = new LeaderLoop(
                self,
                log,
                stateMachine,
                registry,
                configurations,
                conflicts,
                new OrderSender(endpointClient, orderCodec, events),
                new FormatUpgrade(self, log, stateMachine, peerFormats, events, waitClock.nowNanos()),
                viewConfirmations,
                timings,
                events,
                waitClock);
        this.requestHandler = new ControlRequestHandler(
                self,
                log,
                stateMachine,
                registry,
                heartbeats,
                conflicts,
                directory,
                reader,
                heartbeatRelay,
                leaderLoop::wake,
                leaderLoop::awaitInForce,
                this::requiredVoters,
                events,
                waitClock);
        final ControlService service = new ControlService(
                log,
                stateMachine,
                documentHistory,
                registry,
                heartbeats,
                directory,
                peerFormats,
                leaderLoop::currentTerm,
                viewConfirmations,
                this::addControlVms,
                leaderLoop::wake,
                events,
                waitClock);
        this.nodeServer = new NodeServer(
                new InetSocketAddress(settings.bindIp(), settings.fleetPort()),
                new FleetService.Processor<>(service),
                WORKER_THREADS);
    }

    /** Starts serving; {@code apiFactory} creates the HTTP API for endpoint VMs and operators. */
    public void start(
            Function<ControlRequestHandler, Function<HttpRequestHandler.Request, CompletableFuture<HttpReply>>>
                    apiFactory) {
        nodeServer.start();
        directory.controlVmIps().forEach(this::addPeer);
        addControlVms(List.of(settings.ip()));
        leaderLoop.start();
        final Function<HttpRequestHandler.Request, CompletableFuture<HttpReply>> httpHandler =
                apiFactory.apply(requestHandler);
        final CallHandlers handlers = new CallHandlers(
                clientMemory,
                MAX_BODY_BYTES,
                HEAD_TIMEOUT_MS,
                BODY_TIMEOUT_MS,
                IDLE_TIMEOUT_S,
                new ClientClosings(metrics, events));
        listener = HttpListener.open(
                loop,
                settings.controlListen().orElseThrow().toSocketAddress(),
                MAX_HEADER_BYTES,
                pipeline -> handlers.addTo(pipeline, httpHandler));
        MetricsListener.open(
                loop,
                new InetSocketAddress(settings.bindIp(), settings.metricsPort()),
                metrics,
                clientMemory,
                new ClientClosings(metrics, events));
        events.write(LogEvent.NODE_STARTED, settings.name(), settings.availabilityZone(), listenText());
    }

    /** Initiates a graceful stop and returns immediately. */
    public void stop() {
        if (stopRequested.compareAndSet(false, true)) {
            new Thread(this::close, "stop").start();
        }
    }

    /** Waits until the node has stopped. */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /** Adds the seeds of reloaded settings to the known control VMs. */
    public void reload(FleetSettings newSettings) {
        addControlVms(newSettings.seeds().stream().map(NodeAddress::ip).toList());
    }

    private String listenText() {
        return settings.controlListen().orElseThrow().toString();
    }

    private RaftReplicatedLog openLog() {
        final ImmutableSortedSet<NodeName> initialVoters = settings.bootstrap()
                ? settings.seeds().stream()
                        .map(seed -> NodeName.of(seed.ip()))
                        .collect(ImmutableSortedSet.toImmutableSortedSet(NodeName::compareTo))
                : ImmutableSortedSet.of();
        final CoreSettings core = new CoreSettings(
                self,
                initialVoters,
                VoterPolicy.tolerating(toleratedLosses(), REPLACE_SILENT_VOTER_AFTER_NANOS),
                LOG_TIMINGS);
        final LogSettings logSettings = new LogSettings(
                core,
                settings.dataFolder().orElseThrow(),
                new InetSocketAddress(settings.bindIp(), settings.logPort()),
                directory,
                LogSettings.DEFAULT_COMPACT_AFTER_ENTRIES);
        return RaftReplicatedLog.open(
                logSettings,
                new ReplicatedPublishedState(stateMachine, documentHistory),
                waitClock,
                clocks.leaseClock(),
                this::haltOnLogFailure);
    }

    private int toleratedLosses() {
        return (int) settings.number(FleetKey.LOSSES_BORNE);
    }

    /**
     * Returns the minimum number of voters with which changes are accepted. With this many, a quorum of disks survives
     * the number of losses that the fleet must tolerate.
     */
    private int requiredVoters() {
        final int required = 2 * toleratedLosses() + 1;
        final int known = directory.controlVmIps().size();
        final boolean undersized =
                known < required && waitClock.nowNanos() - startedNanos > UNDERSIZED_FLEET_WAIT_NANOS;
        return undersized ? Math.min(known, toleratedLosses() + 1) : required;
    }

    private void handleContestedRecorded(VmHeartbeat heartbeat) {
        events.write(
                LogEvent.ENDPOINT_ANNOUNCED, heartbeat.vm().vm(), heartbeat.vm().incarnation());
        leaderLoop.wake();
    }

    private void haltOnLogFailure(RuntimeException failure) {
        events.writeWithStackTrace(
                LogEvent.DISK_FAILED, failure, settings.dataFolder().orElseThrow(), failure.getMessage());
        Runtime.getRuntime().halt(DISK_FAILURE_EXIT_STATUS);
    }

    private void addControlVms(List<String> ips) {
        final ImmutableSet<String> added = directory.addControlVms(ips);
        added.forEach(ip -> events.write(
                LogEvent.CONTROL_VM_FOUND, ip, directory.controlVmIps().size()));
        added.forEach(this::addPeer);
    }

    private void addPeer(String ip) {
        if (ip.equals(settings.ip())) {
            return;
        }
        log.discover(NodeName.of(ip));
        synchronized (exchanges) {
            exchanges.computeIfAbsent(ip, this::startExchange);
        }
    }

    private PeerExchange startExchange(String ip) {
        final PeerExchange exchange = new PeerExchange(
                settings.ip(),
                ip,
                directory,
                peerFormats,
                registry,
                () -> log.leader().filter(leader -> leader.value().equals(ip)).isPresent(),
                this::addControlVms,
                events,
                waitClock);
        heartbeatRelay.addListener(exchange::enqueue);
        exchange.start();
        return exchange;
    }

    /** Transfers leadership, then stops; accepted changes are already on other disks as well. */
    @Override
    public void close() {
        events.write(LogEvent.NODE_STOPPING, settings.name(), "a signal", 0);
        log.transferLeadership();
        listener.close();
        leaderLoop.close();
        log.close();
        synchronized (exchanges) {
            exchanges.values().forEach(PeerExchange::close);
        }
        nodeServer.close();
        loop.close();
        events.write(
                LogEvent.NODE_STOPPED,
                settings.name(),
                TimeUnit.NANOSECONDS.toMillis(waitClock.nowNanos() - startedNanos));
        stopped.countDown();
    }
}

package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.reachability.EndpointReachability;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.ConnectionOutcome;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.responses.ResponseDecoder;

/**
 * Pool of connections to endpoints that are kept open between requests. Used on the event loop only.
 *
 * <p>Invariants: a connection carries one request at a time; a connection with a failure, a cancelled request, a
 * response without a length or unsolicited bytes is closed and never reused; a request that must not run twice gets a
 * new connection, so that the request is never written to a connection that the endpoint has already closed; so does a
 * request without an id, whose response could not be told from a late one.
 */
final class EndpointConnectionPool {
    /** Timeout for opening a connection, in milliseconds; the network delay to endpoints is a few milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 350;
    /** A connection that was idle for longer is not reused, even if the endpoint would keep it open. */
    private static final long MAX_IDLE_MS = 4_000;
    /** Maximum of idle connections to one endpoint; a node seldom has more requests in flight at one endpoint. */
    private static final int MAX_IDLE_CONNECTIONS = 8;

    private record IdleConnection(Channel channel, long usableUntilNanos) {}

    private final SharedEventLoop loop;
    private final CallerCodec codec;
    private final EventLog events;
    private final Metrics metrics;
    private final WaitClock waitClock;
    private final Optional<String> gatewayIp;
    private final Map<VmIncarnation, Deque<IdleConnection>> idleByVm = new HashMap<>();
    private final Set<ChannelFuture> connecting = new HashSet<>();

    /** @param gatewayIp address through which every endpoint is reached, at its own port; absent if there is none */
    EndpointConnectionPool(
            SharedEventLoop loop,
            CallerCodec codec,
            Optional<String> gatewayIp,
            EventLog events,
            Metrics metrics,
            WaitClock waitClock) {
        this.loop = loop;
        this.codec = codec;
        this.gatewayIp = gatewayIp;
        this.events = events;
        this.metrics = metrics;
        this.waitClock = waitClock;
    }

    /** Sends a request; {@code mayReuse} states whether an idle connection of an earlier request may be used. */
    void send(EndpointLoad endpoint, EndpointCall call, boolean mayReuse) {
        final Optional<Channel> reused = mayReuse ? takeIdle(endpoint.vm(), call) : Optional.empty();
        if (reused.isPresent()) {
            call.markReused();
            write(reused.get(), call);
            return;
        }
        final long startedNanos = waitClock.nowNanos();
        final ChannelFuture opening = connect(endpoint, CONNECT_TIMEOUT_MS);
        connecting.add(opening);
        final var unused = opening.addListener(done -> {
            connecting.remove(opening);
            final ConnectionOutcome outcome = outcomeOf(done);
            metrics.countEndpointConnection(outcome);
            if (outcome == ConnectionOutcome.OPENED) {
                call.reportConnectionOpened();
                writeOrClose(opening.channel(), call);
                return;
            }
            logFailedOpening(endpoint, call.attemptId().orElse("-"), startedNanos, done.cause());
            call.message().release();
            call.reportNotSent(String.valueOf(done.cause()), outcome == ConnectionOutcome.REFUSED);
        });
    }

    /** Sends a request that is relayed to another entry node, on a connection of its own. */
    void sendToEntryNode(String address, EndpointCall call) {
        final ChannelFuture opening = open(
                HostAndPort.fromString(address), CONNECT_TIMEOUT_MS, (channel, idleMs) -> NettyFutures.reset(channel));
        final var unused = opening.addListener(done -> {
            if (done.isSuccess()) {
                writeOrClose(opening.channel(), call);
                return;
            }
            call.message().release();
            call.reportNotSent(String.valueOf(done.cause()), outcomeOf(done) == ConnectionOutcome.REFUSED);
        });
    }

    /** Opens a connection to an endpoint and closes it at once; {@code result} is told whether it could be opened. */
    void probe(EndpointLoad endpoint, Consumer<Boolean> result) {
        final long startedNanos = waitClock.nowNanos();
        final ChannelFuture probing = connect(endpoint, EndpointReachability.PROBE_TIMEOUT_MS);
        final var unused = probing.addListener(done -> {
            metrics.countEndpointConnection(outcomeOf(done));
            if (done.isSuccess()) {
                NettyFutures.logFailure(probing.channel().close());
            } else {
                logFailedOpening(endpoint, LogEvent.PROBE, startedNanos, done.cause());
            }
            result.accept(done.isSuccess());
        });
    }

    private void logFailedOpening(EndpointLoad endpoint, String request, long startedNanos, Throwable cause) {
        events.write(
                LogEvent.ENDPOINT_CONNECT_FAILED,
                endpoint.vm(),
                endpoint.address(),
                request,
                TimeUnit.NANOSECONDS.toMillis(waitClock.nowNanos() - startedNanos),
                cause);
    }

    /**
     * Resets every idle connection, since their path is lost, and gives up those that are being opened; their requests
     * are reported as not sent.
     */
    void resetIdleAndConnecting() {
        idleByVm.values().forEach(connections -> connections.forEach(idle -> NettyFutures.reset(idle.channel())));
        idleByVm.clear();
        ImmutableList.copyOf(connecting)
                .forEach(opening -> NettyFutures.logFailure(opening.channel().close()));
    }

    private static ConnectionOutcome outcomeOf(Future<?> connecting) {
        if (connecting.isSuccess()) {
            return ConnectionOutcome.OPENED;
        }
        if (connecting.cause() instanceof ConnectTimeoutException) {
            return ConnectionOutcome.TIMED_OUT;
        }
        final boolean refused = connecting.cause() instanceof ConnectException
                && String.valueOf(connecting.cause().getMessage()).contains("refused");
        return refused ? ConnectionOutcome.REFUSED : ConnectionOutcome.FAILED;
    }

    private ChannelFuture connect(EndpointLoad endpoint, int timeoutMs) {
        final HostAndPort own = HostAndPort.fromString(endpoint.address());
        final HostAndPort target =
                gatewayIp.map(ip -> HostAndPort.fromParts(ip, own.getPort())).orElse(own);
        return open(target, timeoutMs, (channel, idleMs) -> release(endpoint.vm(), channel, idleMs));
    }

    private ChannelFuture open(HostAndPort target, int timeoutMs, EndpointResponseHandler.ConnectionReleaser releaser) {
        return new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        final ResponseDecoder decoder = new ResponseDecoder(metrics::countInvalidResponse);
                        decoder.addTo(child.pipeline(), new EndpointResponseHandler(decoder, codec, releaser));
                    }
                })
                .connect(new InetSocketAddress(InetAddresses.forString(target.getHost()), target.getPort()));
    }

    private static void writeOrClose(Channel channel, EndpointCall call) {
        if (call.isFinished()) {
            call.message().release();
            NettyFutures.logFailure(channel.close());
            return;
        }
        write(channel, call);
    }

    private static void write(Channel channel, EndpointCall call) {
        channel.pipeline().get(EndpointResponseHandler.class).send(channel, call);
    }

    private Optional<Channel> takeIdle(VmIncarnation vm, EndpointCall call) {
        final Deque<IdleConnection> connections = idleByVm.getOrDefault(vm, new ArrayDeque<>());
        final long nowNanos = waitClock.nowNanos();
        while (call.attemptId().isPresent() && !connections.isEmpty()) {
            final IdleConnection latest = connections.removeLast();
            final boolean usable = latest.channel().isActive() && nowNanos - latest.usableUntilNanos() < 0;
            if (usable
                    && latest.channel()
                            .pipeline()
                            .get(EndpointResponseHandler.class)
                            .maySend(call)) {
                return Optional.of(latest.channel());
            }
            NettyFutures.logFailure(latest.channel().close());
        }
        idleByVm.remove(vm);
        return Optional.empty();
    }

    private void release(VmIncarnation vm, Channel channel, long idleMs) {
        final Deque<IdleConnection> connections = idleByVm.computeIfAbsent(vm, unused -> new ArrayDeque<>());
        final long usableMs = Math.min(MAX_IDLE_MS, idleMs);
        connections.addLast(
                new IdleConnection(channel, waitClock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(usableMs)));
        if (connections.size() > MAX_IDLE_CONNECTIONS) {
            NettyFutures.logFailure(connections.removeFirst().channel().close());
        }
    }
}

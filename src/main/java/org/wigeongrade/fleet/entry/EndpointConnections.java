package org.wigeongrade.fleet.entry;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.fleet.net.EventLoop;
import org.wigeongrade.fleet.net.Futures;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Connections to endpoints, kept open between requests. Used on the event loop only.
 *
 * <p>Invariants: a connection carries one request at a time; one that saw a failure, a cancelled request, an answer without
 * a length or bytes that nobody asked for is closed and never used again; a request that must not run twice gets a new
 * connection, so that it cannot meet one that the endpoint has closed.
 */
final class EndpointConnections {
    /** Longest wait for a connection, in milliseconds; endpoints are some milliseconds away. */
    private static final int CONNECT_TIMEOUT_MS = 350;
    /** A connection that was idle for longer is not used again, even if the endpoint would keep it. */
    private static final long MAX_IDLE_MS = 4_000;
    /** Idle connections kept to one endpoint; a node seldom has more requests at one endpoint. */
    private static final int MAX_IDLE_CONNECTIONS = 8;

    private record Idle(Channel channel, long usableUntilNanos) {}

    private final EventLoop loop;
    private final CallerCodec codec;
    private final LongSupplier nanoClock;
    private final Map<VmIncarnation, Deque<Idle>> idle = new HashMap<>();

    EndpointConnections(EventLoop loop, CallerCodec codec, LongSupplier nanoClock) {
        this.loop = loop;
        this.codec = codec;
        this.nanoClock = nanoClock;
    }

    /** Sends a request; {@code mayRepeat} tells whether it may use a connection that was used before. */
    void send(EndpointLoad endpoint, EndpointCall call, boolean mayRepeat) {
        final Optional<Channel> reused = mayRepeat ? takeIdle(endpoint.vm()) : Optional.empty();
        if (reused.isPresent()) {
            write(reused.get(), call);
            return;
        }
        final ChannelFuture connecting = connect(endpoint);
        final var unused = connecting.addListener(done -> {
            if (done.isSuccess()) {
                writeOrClose(connecting.channel(), call);
                return;
            }
            call.message().release();
            call.notSent(String.valueOf(done.cause()), isRefusal(done.cause()));
        });
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).contains("refused");
    }

    private ChannelFuture connect(EndpointLoad endpoint) {
        final HostAndPort target = HostAndPort.fromString(endpoint.address());
        return new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new EndpointChannel(
                                        codec, (channel, idleMs) -> keep(endpoint.vm(), channel, idleMs)));
                    }
                })
                .connect(new InetSocketAddress(InetAddresses.forString(target.getHost()), target.getPort()));
    }

    private static void writeOrClose(Channel channel, EndpointCall call) {
        if (call.isOver()) {
            call.message().release();
            Futures.unwatched(channel.close());
            return;
        }
        write(channel, call);
    }

    private static void write(Channel channel, EndpointCall call) {
        call.sentOn(channel);
        channel.pipeline().get(EndpointChannel.class).begin(call);
        Futures.unwatched(channel.writeAndFlush(call.message()));
    }

    private Optional<Channel> takeIdle(VmIncarnation vm) {
        final Deque<Idle> connections = idle.getOrDefault(vm, new ArrayDeque<>());
        final long nowNanos = nanoClock.getAsLong();
        while (!connections.isEmpty()) {
            final Idle latest = connections.removeLast();
            if (latest.channel().isActive() && nowNanos - latest.usableUntilNanos() < 0) {
                return Optional.of(latest.channel());
            }
            Futures.unwatched(latest.channel().close());
        }
        idle.remove(vm);
        return Optional.empty();
    }

    private void keep(VmIncarnation vm, Channel channel, long idleMs) {
        final Deque<Idle> connections = idle.computeIfAbsent(vm, unused -> new ArrayDeque<>());
        final long usableMs = Math.min(MAX_IDLE_MS, idleMs);
        connections.addLast(new Idle(channel, nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(usableMs)));
        if (connections.size() > MAX_IDLE_CONNECTIONS) {
            Futures.unwatched(connections.removeFirst().channel().close());
        }
    }
}

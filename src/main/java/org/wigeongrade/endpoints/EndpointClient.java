package org.wigeongrade.endpoints;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.metrics.ResponseFault;
import org.wigeongrade.responses.ResponseDecoder;

/**
 * Sends requests to endpoints, each on a new connection, and streams the responses to a listener.
 *
 * <p>Invariant: a connection carries one request, so bytes of one response never reach another request. Thread safe;
 * listener calls come from this client's event loops.
 */
public final class EndpointClient implements AutoCloseable {
    private static final long QUIET_PERIOD_MS = 0;
    private static final long STOP_TIMEOUT_MS = 500;

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(new DefaultThreadFactory("endpoint-client", true));
    private final Optional<String> gatewayIp;
    private final WaitClock waitClock;
    private final Consumer<ResponseFault> faultCounter;

    /**
     * Creates a client.
     *
     * @param gatewayIp address through which every endpoint is reached, at its own port; absent if there is none
     * @param faultCounter counts the rule that an invalid response breaks
     */
    public EndpointClient(Optional<String> gatewayIp, WaitClock waitClock, Consumer<ResponseFault> faultCounter) {
        this.gatewayIp = gatewayIp;
        this.waitClock = waitClock;
        this.faultCounter = faultCounter;
    }

    /** Sends a request asynchronously. The listener gets every later event, including connection failures. */
    public SendHandle send(EndpointRequest request, ResponseListener listener) {
        return send(reachableAddress(request.address()), request, listener);
    }

    /** Sends a request to another entry VM, as above. */
    public SendHandle sendToEntryVm(EndpointRequest request, ResponseListener listener) {
        return send(request.address(), request, listener);
    }

    /** Returns the address, as {@code ip:port}, at which this VM reaches an endpoint. */
    public String reachableAddress(String endpointAddress) {
        return gatewayIp
                .map(ip -> HostAndPort.fromParts(
                                ip, HostAndPort.fromString(endpointAddress).getPort())
                        .toString())
                .orElse(endpointAddress);
    }

    private SendHandle send(String address, EndpointRequest request, ResponseListener listener) {
        final SendHandle handle = new SendHandle();
        // A failure is never reported from within this call, since callers may hold a lock and lack the handle.
        eventLoops.next().execute(() -> {
            try {
                connect(address, request, listener, handle);
            } catch (IllegalArgumentException e) {
                if (!handle.isCancelled()) {
                    listener.onFailure(SendFailure.CONNECTION_LOST, describe(e));
                }
            }
        });
        return handle;
    }

    private void connect(String address, EndpointRequest request, ResponseListener listener, SendHandle handle) {
        final HostAndPort target = HostAndPort.fromString(address);
        final FullHttpRequest message = encode(address, request);
        final ChannelFuture connecting = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        request.connectTimeout().toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        final ResponseDecoder decoder = new ResponseDecoder(faultCounter);
                        decoder.start(message.method());
                        child.pipeline()
                                .addLast(new ReadTimeoutHandler(stallTimeoutMs(request), TimeUnit.MILLISECONDS));
                        decoder.addTo(child.pipeline(), new ResponseReader(listener, handle));
                    }
                })
                .connect(new InetSocketAddress(InetAddresses.forString(target.getHost()), target.getPort()));
        handle.setCloseAction(() -> NettyFutures.logFailure(connecting.channel().close()));
        final var unused = connecting.addListener(done -> {
            if (done.isSuccess()) {
                NettyFutures.logFailure(connecting.channel().writeAndFlush(message));
                return;
            }
            message.release();
            if (!handle.isCancelled()) {
                listener.onFailure(SendFailure.CONNECT_FAILED, describe(done.cause()));
            }
        });
    }

    /** Returns the longest time without a byte once the connection is open, in milliseconds. */
    private long stallTimeoutMs(EndpointRequest request) {
        final long remainingMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - waitClock.nowNanos());
        return Math.max(1, Math.min(request.stallTimeout().toMillis(), remainingMs));
    }

    private FullHttpRequest encode(String address, EndpointRequest request) {
        final long remainingNanos = Math.max(0, request.deadlineNanos() - waitClock.nowNanos());
        final FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.pathAndQuery(),
                Unpooled.wrappedBuffer(request.body()));
        final HttpHeaders headers = message.headers();
        request.headers().forEach(headers::set);
        headers.set("X-Request-Id", request.attemptId().value());
        headers.set("X-Request-Deadline-Ms", TimeUnit.NANOSECONDS.toMillis(remainingNanos));
        headers.set("X-Request-Priority", request.priority());
        headers.set(HttpHeaderNames.HOST, address);
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (request.body().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    /** Closes all connections; requests that are under way are not reported any more. */
    @Override
    public void close() {
        NettyFutures.logFailure(eventLoops.shutdownGracefully(QUIET_PERIOD_MS, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    static String describe(Throwable failure) {
        return failure.getClass().getSimpleName() + ": " + failure.getMessage();
    }
}

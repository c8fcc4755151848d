package org.wigeongrade.fleet.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.metrics.ResponseFault;
import org.wigeongrade.responses.ResponseDecoder;

/** Sends single HTTP requests, each on its own connection. Thread safe. */
public final class OneShotHttpClient {
    /** Longest body of a response, in bytes, unless the creator of the client states another one. */
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024;
    /**
     * Time for which a call goes on after its timeout, in milliseconds. The event loop then reads what arrived while it
     * was busy, so that its own delay does not look like silence of the other side.
     */
    private static final int READ_AGAIN_MS = 20;
    /** Limit for opening a connection, in milliseconds, in case the timeout of a call is not reached. */
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 5_000;

    private final SharedEventLoop loop;
    private final int maxResponseBytes;
    private final int connectTimeoutMs;
    private final Consumer<ResponseFault> faultCounter;

    /** Status, headers and body of a response. */
    public record Response(int status, io.netty.handler.codec.http.HttpHeaders headers, Bytes body) {}

    /** Creates a client for short responses whose faults nobody counts. */
    public OneShotHttpClient(SharedEventLoop loop) {
        this(loop, fault -> {});
    }

    /** Creates a client for short responses; {@code faultCounter} counts the rule that an invalid one breaks. */
    public OneShotHttpClient(SharedEventLoop loop, Consumer<ResponseFault> faultCounter) {
        this(loop, DEFAULT_MAX_RESPONSE_BYTES, DEFAULT_CONNECT_TIMEOUT_MS, faultCounter);
    }

    /**
     * Creates a client.
     *
     * @param maxResponseBytes longest body of a response; a call with a longer one fails
     * @param connectTimeoutMs limit for opening a connection, in case the timeout of a call is not reached
     * @param faultCounter counts the rule that an invalid response breaks
     */
    public OneShotHttpClient(
            SharedEventLoop loop, int maxResponseBytes, int connectTimeoutMs, Consumer<ResponseFault> faultCounter) {
        this.loop = loop;
        this.maxResponseBytes = maxResponseBytes;
        this.connectTimeoutMs = connectTimeoutMs;
        this.faultCounter = faultCounter;
    }

    /**
     * Sends a request and returns a future of its response. The future fails with {@link java.net.ConnectException} if
     * the connection was refused or took too long to open, with {@link TimeoutException} if no complete response arrived
     * in time, and with {@link IOException} if the connection ended early or carried bytes that are no response.
     */
    public CompletableFuture<Response> send(InetSocketAddress address, FullHttpRequest request, int timeoutMs) {
        final CompletableFuture<Response> result = new CompletableFuture<>();
        final Bootstrap bootstrap = new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        final ResponseDecoder decoder = new ResponseDecoder(faultCounter);
                        decoder.start(request.method());
                        decoder.addTo(child.pipeline(), new ResponseHandler(result, maxResponseBytes));
                    }
                });
        final ChannelFuture connecting = bootstrap.connect(address);
        expireAfter(connecting.channel(), timeoutMs, result, "no connection to " + address, connecting::isDone);
        final var unused = connecting.addListener(done -> {
            if (done.isSuccess()) {
                write(connecting.channel(), request, timeoutMs, result);
                return;
            }
            request.release();
            result.completeExceptionally(done.cause());
        });
        return result;
    }

    private static void write(
            Channel channel, FullHttpRequest request, int timeoutMs, CompletableFuture<Response> result) {
        NettyFutures.logFailure(channel.writeAndFlush(request));
        expireAfter(
                channel, timeoutMs, result, "no response from " + channel.remoteAddress(), () -> !channel.isActive());
    }

    private static void expireAfter(
            Channel channel,
            int timeoutMs,
            CompletableFuture<Response> result,
            String failure,
            BooleanSupplier isDone) {
        final Runnable expire = () -> {
            if (!isDone.getAsBoolean()) {
                result.completeExceptionally(new TimeoutException(failure));
                NettyFutures.logFailure(channel.close());
            }
        };
        NettyFutures.logFailure(channel.eventLoop()
                .schedule(
                        () -> NettyFutures.logFailure(
                                channel.eventLoop().schedule(expire, READ_AGAIN_MS, TimeUnit.MILLISECONDS)),
                        timeoutMs,
                        TimeUnit.MILLISECONDS));
    }

    /**
     * Completes the future with the first complete response that is not an interim one. Collects the body itself, since
     * Netty's aggregator takes the chunked encoding off the head, whereupon the decoder takes the end of the connection
     * for that of the body. Used on the event loop only.
     */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final CompletableFuture<Response> result;
        private final int maxResponseBytes;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Optional<HttpResponse> head = Optional.empty();

        ResponseHandler(CompletableFuture<Response> result, int maxResponseBytes) {
            this.result = result;
            this.maxResponseBytes = maxResponseBytes;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
            if (message instanceof HttpResponse response) {
                head = Optional.of(response)
                        .filter(received -> received.status().codeClass() != HttpStatusClass.INFORMATIONAL);
            }
            if (message instanceof HttpContent content && head.isPresent()) {
                content.content().readBytes(body, content.content().readableBytes());
                if (body.size() > maxResponseBytes) {
                    throw new IOException("the response exceeds " + maxResponseBytes + " bytes");
                }
                if (content instanceof LastHttpContent) {
                    final HttpResponse complete = head.get();
                    result.complete(
                            new Response(complete.status().code(), complete.headers(), Bytes.wrap(body.toByteArray())));
                    NettyFutures.logFailure(context.close());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            result.completeExceptionally(new IOException("connection closed before the response"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            result.completeExceptionally(
                    cause instanceof DecoderException ? new IOException(cause.getMessage(), cause) : cause);
            NettyFutures.logFailure(context.close());
        }
    }
}

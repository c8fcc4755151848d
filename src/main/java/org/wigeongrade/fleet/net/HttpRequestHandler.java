package org.wigeongrade.fleet.net;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpUtil;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.wigeongrade.decisions.log.Bytes;

/**
 * Passes the requests of one HTTP connection to a function, in the order of arrival. Used on the event loop only.
 *
 * <p>Invariants: a request is served only after the response to the previous one was written, and only while the client
 * reads its responses; meanwhile the connection is not read.
 */
public final class HttpRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOGGER = System.getLogger(HttpRequestHandler.class.getName());
    private static final int INTERNAL_ERROR = 500;

    private final Function<Request, CompletableFuture<HttpReply>> service;
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private boolean serving;
    private boolean closing;

    /** A request. The body is a copy, so that it stays valid after the read has returned. */
    public record Request(String method, String path, Bytes body) {}

    public HttpRequestHandler(Function<Request, CompletableFuture<HttpReply>> service) {
        this.service = service;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        waiting.addLast(request.retain());
        serveNext(context);
    }

    private void serveNext(ChannelHandlerContext context) {
        final boolean takesNext = !serving && !closing && context.channel().isWritable();
        final FullHttpRequest request = takesNext ? waiting.pollFirst() : null;
        if (request != null) {
            serving = true;
            serve(context, request);
            request.release();
        }
        context.channel().config().setAutoRead(!serving && waiting.isEmpty());
    }

    private void serve(ChannelHandlerContext context, FullHttpRequest request) {
        final boolean keepAlive =
                HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
        final byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        final String path = request.uri();
        final var unused = serve(new Request(request.method().name(), path, Bytes.wrap(body)))
                .whenComplete((reply, failure) -> context.executor().execute(() -> {
                    if (failure != null) {
                        LOGGER.log(Level.WARNING, "request " + path + " failed", failure);
                    }
                    write(
                            context,
                            failure == null ? reply : HttpReply.text(INTERNAL_ERROR, "internal error\n"),
                            keepAlive);
                }));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        serveNext(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
    }

    private CompletableFuture<HttpReply> serve(Request call) {
        try {
            return service.apply(call);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void write(ChannelHandlerContext context, HttpReply reply, boolean keepAlive) {
        final FullHttpResponse message = reply.toMessage();
        serving = false;
        if (keepAlive) {
            NettyFutures.logFailure(context.writeAndFlush(message));
            serveNext(context);
            return;
        }
        closing = true;
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        NettyFutures.logFailure(context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(Level.DEBUG, "connection {0} failed: {1}", context.channel().remoteAddress(), cause);
        NettyFutures.logFailure(context.close());
    }
}

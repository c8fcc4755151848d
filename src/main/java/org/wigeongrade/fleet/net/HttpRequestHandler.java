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
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.wigeongrade.decisions.log.Bytes;

/**
 * Passes the requests of one HTTP connection to a function, in the order of arrival. Used on the event loop only.
 *
 * <p>Invariant: the next request is read only after the response to the previous one was written.
 */
public final class HttpRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOGGER = System.getLogger(HttpRequestHandler.class.getName());
    private static final int INTERNAL_ERROR = 500;

    private final Function<Request, CompletableFuture<HttpReply>> service;

    /** A request. The body is a copy, so that it stays valid after the read has returned. */
    public record Request(String method, String path, Bytes body) {}

    public HttpRequestHandler(Function<Request, CompletableFuture<HttpReply>> service) {
        this.service = service;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        final boolean keepAlive =
                HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
        final byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        context.channel().config().setAutoRead(false);
        final var unused = serve(new Request(request.method().name(), request.uri(), Bytes.wrap(body)))
                .whenComplete((reply, failure) -> context.executor().execute(() -> {
                    if (failure != null) {
                        LOGGER.log(Level.WARNING, "request " + request.uri() + " failed", failure);
                    }
                    write(
                            context,
                            failure == null ? reply : HttpReply.text(INTERNAL_ERROR, "internal error\n"),
                            keepAlive);
                }));
    }

    private CompletableFuture<HttpReply> serve(Request call) {
        try {
            return service.apply(call);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static void write(ChannelHandlerContext context, HttpReply reply, boolean keepAlive) {
        final FullHttpResponse message = reply.toMessage();
        if (keepAlive) {
            NettyFutures.logFailure(context.writeAndFlush(message));
            context.channel().config().setAutoRead(true);
            return;
        }
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        NettyFutures.logFailure(context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(Level.DEBUG, "connection {0} failed: {1}", context.channel().remoteAddress(), cause);
        NettyFutures.logFailure(context.close());
    }
}

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
 * Answers whole requests of one connection by a function, in their order. Used on the event loop only.
 *
 * <p>Invariant: no second request is read before the first is answered.
 */
public final class CallServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOGGER = System.getLogger(CallServer.class.getName());
    private static final int INTERNAL_ERROR = 500;

    private final Function<Call, CompletableFuture<HttpReply>> service;

    /** One request. The body is a copy, so the call may outlive the read. */
    public record Call(String method, String path, Bytes body) {}

    public CallServer(Function<Call, CompletableFuture<HttpReply>> service) {
        this.service = service;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        final boolean keepAlive =
                HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
        final byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        context.channel().config().setAutoRead(false);
        final var unused = serve(new Call(request.method().name(), request.uri(), Bytes.wrap(body)))
                .whenComplete((reply, failure) -> context.executor().execute(() -> {
                    if (failure != null) {
                        LOGGER.log(Level.WARNING, "call " + request.uri() + " failed", failure);
                    }
                    write(context, failure == null ? reply : HttpReply.text(INTERNAL_ERROR, "fault\n"), keepAlive);
                }));
    }

    private CompletableFuture<HttpReply> serve(Call call) {
        try {
            return service.apply(call);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static void write(ChannelHandlerContext context, HttpReply reply, boolean keepAlive) {
        final FullHttpResponse message = reply.toMessage();
        if (keepAlive) {
            Futures.unwatched(context.writeAndFlush(message));
            context.channel().config().setAutoRead(true);
            return;
        }
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        Futures.unwatched(context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(Level.DEBUG, "connection {0} failed: {1}", context.channel().remoteAddress(), cause);
        Futures.unwatched(context.close());
    }
}

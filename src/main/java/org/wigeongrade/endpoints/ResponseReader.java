package org.wigeongrade.endpoints;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.wigeongrade.fleet.net.NettyFutures;

/**
 * Reads the response on one connection and passes it to a listener, chunk by chunk. Used on the connection's event loop
 * only.
 *
 * <p>Invariants: the listener is told of one end at most, and of nothing after a cancel. The connection is read only
 * while the listener has asked for more and nothing is queued, so that no more is held than one read has brought.
 */
final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
    private final ResponseListener listener;
    private final SendHandle handle;
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private boolean hasHead;
    private boolean complete;
    private boolean ended;
    private boolean listenerBusy;

    ResponseReader(ResponseListener listener, SendHandle handle) {
        this.listener = listener;
        this.handle = handle;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content && hasHead && !complete) {
            if (content.content().isReadable()) {
                queue.addLast(ByteBufUtil.getBytes(content.content()));
            }
            if (content instanceof LastHttpContent) {
                complete = true;
                NettyFutures.logFailure(context.close());
            }
            proceed(context);
        }
    }

    private void readHead(HttpResponse response) {
        if (hasHead || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        hasHead = true;
        if (!handle.isCancelled()) {
            listener.onHead(new ResponseHead(response.status().code(), withLowerCaseNames(response)));
        }
    }

    private static ImmutableListMultimap<String, String> withLowerCaseNames(HttpResponse response) {
        final ImmutableListMultimap.Builder<String, String> copy = ImmutableListMultimap.builder();
        for (final Map.Entry<String, String> header : response.headers()) {
            copy.put(Ascii.toLowerCase(header.getKey()), header.getValue());
        }
        return copy.build();
    }

    /** Passes on the next chunk or the end, once the listener has asked for it. */
    private void proceed(ChannelHandlerContext context) {
        if (listenerBusy || ended || handle.isCancelled()) {
            return;
        }
        if (!queue.isEmpty()) {
            listenerBusy = true;
            listener.onBytes(queue.removeFirst(), () -> context.executor().execute(() -> onListenerReady(context)));
            return;
        }
        if (complete) {
            ended = true;
            listener.onEnd();
        }
    }

    private void onListenerReady(ChannelHandlerContext context) {
        listenerBusy = false;
        proceed(context);
        readIfIdle(context);
    }

    private void readIfIdle(ChannelHandlerContext context) {
        if (!listenerBusy && !complete && queue.isEmpty()) {
            context.read();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.read();
        context.fireChannelActive();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        readIfIdle(context);
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, SendFailure.CONNECTION_LOST, "the connection was closed before its response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(
                context,
                cause instanceof ReadTimeoutException ? SendFailure.TIMED_OUT : SendFailure.CONNECTION_LOST,
                cause instanceof DecoderException ? cause.getMessage() : EndpointClient.describe(cause));
    }

    private void fail(ChannelHandlerContext context, SendFailure failure, String detail) {
        NettyFutures.logFailure(context.close());
        if (ended || complete) {
            return;
        }
        ended = true;
        queue.clear();
        if (!handle.isCancelled()) {
            listener.onFailure(failure, detail);
        }
    }
}

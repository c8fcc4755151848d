package org.wigeongrade.fleet.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.wigeongrade.fleet.net.Futures;

/**
 * Reads the answers on one connection to an endpoint. Used on the event loop only.
 *
 * <p>Invariant: an answer that names another request is skipped; what cannot be told apart from the awaited answer ends
 * the connection.
 */
final class EndpointChannel extends SimpleChannelInboundHandler<HttpObject> {
    private static final int FIRST_FINAL_STATUS = 200;

    /** Takes a connection that may be used again. */
    @FunctionalInterface
    interface Reuse {
        void keep(Channel channel, long idleMs);
    }

    private final CallerCodec codec;
    private final Reuse reuse;
    private Optional<EndpointCall> current = Optional.empty();
    private Optional<AnswerHead> head = Optional.empty();
    private boolean skipping;
    private boolean framed;

    EndpointChannel(CallerCodec codec, Reuse reuse) {
        this.codec = codec;
        this.reuse = reuse;
    }

    /** Begins to wait for the answer to a request. */
    void begin(EndpointCall call) {
        current = Optional.of(call);
        head = Optional.empty();
        skipping = false;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (current.isEmpty()) {
            Futures.unwatched(context.close());
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(
                    context,
                    "the answer cannot be read: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(context, response);
        }
        if (message instanceof HttpContent content && (head.isPresent() || skipping)) {
            readBody(context, content);
        }
    }

    private void readHead(ChannelHandlerContext context, HttpResponse response) {
        if (response.status().code() < FIRST_FINAL_STATUS) {
            return;
        }
        final AnswerHead decoded = codec.decode(response);
        final EndpointCall call = current.orElseThrow();
        skipping = decoded.attemptId().isPresent() && !decoded.attemptId().equals(call.attemptId());
        if (skipping) {
            return;
        }
        if (head.isPresent()) {
            fail(context, "a second answer came");
            return;
        }
        head = Optional.of(decoded);
        framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        call.head(decoded);
    }

    private void readBody(ChannelHandlerContext context, HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        final EndpointCall call = current.orElseThrow();
        final ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            final byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            call.body(copy);
        }
        if (last && !call.isOver()) {
            finish(context, call);
        }
    }

    private void finish(ChannelHandlerContext context, EndpointCall call) {
        final AnswerHead answered = head.orElseThrow();
        current = Optional.empty();
        head = Optional.empty();
        if (framed && answered.reusableForMs().isPresent()) {
            context.channel().config().setAutoRead(true);
            reuse.keep(context.channel(), answered.reusableForMs().getAsLong());
        } else {
            Futures.unwatched(context.close());
        }
        call.end();
    }

    private void fail(ChannelHandlerContext context, String cause) {
        final Optional<EndpointCall> failed = current;
        current = Optional.empty();
        Futures.unwatched(context.close());
        failed.ifPresent(call -> call.broken(cause));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, "the endpoint closed the connection before its answer was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, "the connection failed: " + cause);
    }
}

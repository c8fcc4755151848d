package org.wigeongrade.fleet.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.responses.ResponseDecoder;

/**
 * Reads the responses on one connection to an endpoint. Used on the event loop only.
 *
 * <p>Invariant: a response that names another request is skipped; any unexpected data that cannot be told apart from
 * the awaited response closes the connection. On a connection that carried an earlier request, that includes a response
 * that names none. A connection is released only if its request was written whole and nothing follows the response. A
 * response that ends with its connection is complete only if it has a body.
 */
final class EndpointResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** Maximum of bytes of responses to other requests that are skipped; beyond it a new connection is cheaper. */
    private static final long MAX_SKIPPED_BYTES = 1024 * 1024;
    /** Responses to other requests that are skipped before the awaited one. */
    private static final int MAX_SKIPPED_RESPONSES = 64;
    /** Refusals after which a connection is closed, so that their ids need not be kept. */
    private static final int MAX_REFUSALS = 16;

    /** Receives a connection that may be reused. */
    @FunctionalInterface
    interface ConnectionReleaser {
        void release(Channel channel, long idleMs);
    }

    private final ResponseDecoder decoder;
    private final CallerCodec codec;
    private final ConnectionReleaser releaser;
    private final Set<String> refusedAttempts = new HashSet<>();
    private Optional<EndpointCall> currentCall = Optional.empty();
    private Optional<ResponseHead> head = Optional.empty();
    private boolean reused;
    private long skippedBytes;
    private int skippedResponses;
    private boolean skipping;
    private boolean hasBody;
    private ChannelFuture requestWritten;

    /** @param decoder decoder of the same connection */
    EndpointResponseHandler(ResponseDecoder decoder, CallerCodec codec, ConnectionReleaser releaser) {
        this.decoder = decoder;
        this.codec = codec;
        this.releaser = releaser;
    }

    /**
     * Returns whether the request may be sent on this connection. A second copy of an earlier refusal could not be told
     * from the response to the same request.
     */
    boolean maySend(EndpointCall call) {
        return call.attemptId().filter(id -> !refusedAttempts.contains(id)).isPresent();
    }

    /** Sends a request on this handler's connection and starts waiting for the response. */
    void send(Channel channel, EndpointCall call) {
        call.markSent(channel);
        awaitResponse(call);
        requestWritten = channel.writeAndFlush(call.message());
        NettyFutures.logFailure(requestWritten);
    }

    private void awaitResponse(EndpointCall call) {
        currentCall = Optional.of(call);
        head = Optional.empty();
        skippedResponses = 0;
        skippedBytes = 0;
        skipping = false;
        hasBody = false;
        decoder.start(call.message().method());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (currentCall.isEmpty()) {
            NettyFutures.logFailure(context.close());
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(context, response);
        }
        if (message instanceof HttpContent content && currentCall.isPresent() && (head.isPresent() || skipping)) {
            readBody(context, content);
        }
    }

    private void readHead(ChannelHandlerContext context, HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        final ResponseHead decoded = codec.decode(response);
        final EndpointCall call = currentCall.orElseThrow();
        skipping = decoded.attemptId().isPresent() && !decoded.attemptId().equals(call.attemptId());
        if (skipping) {
            skippedResponses++;
            if (skippedResponses > MAX_SKIPPED_RESPONSES) {
                fail(context, "more than " + MAX_SKIPPED_RESPONSES + " responses to other requests");
            }
            return;
        }
        if (reused && decoded.attemptId().isEmpty()) {
            fail(context, "the response on a kept connection does not name its request");
            return;
        }
        if (head.isPresent()) {
            fail(context, "a second response arrived");
            return;
        }
        head = Optional.of(decoded);
        call.reportHead(decoded);
    }

    private void readBody(ChannelHandlerContext context, HttpContent content) {
        final boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            skippedBytes += content.content().readableBytes();
            if (skippedBytes > MAX_SKIPPED_BYTES) {
                fail(context, "responses to other requests exceed " + MAX_SKIPPED_BYTES + " bytes");
            }
            return;
        }
        final EndpointCall call = currentCall.orElseThrow();
        final ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            hasBody = true;
            final byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            call.reportBody(copy);
        }
        if (last && decoder.isClosed() && !hasBody) {
            fail(context, "the endpoint closed the connection after the head of a response without a length");
            return;
        }
        if (last && !call.isFinished()) {
            finish(context, call);
        }
    }

    private void finish(ChannelHandlerContext context, EndpointCall call) {
        final ResponseHead finishedHead = head.orElseThrow();
        currentCall = Optional.empty();
        head = Optional.empty();
        reused = true;
        if (finishedHead.notRun()) {
            finishedHead.attemptId().ifPresent(refusedAttempts::add);
        }
        final boolean mayReuse = decoder.stop() && refusedAttempts.size() < MAX_REFUSALS;
        if (mayReuse
                && requestWritten.isSuccess()
                && finishedHead.selfDelimited()
                && finishedHead.reusableForMs().isPresent()) {
            context.channel().config().setAutoRead(true);
            releaser.release(context.channel(), finishedHead.reusableForMs().getAsLong());
        } else {
            NettyFutures.logFailure(context.close());
        }
        call.reportComplete();
    }

    private void fail(ChannelHandlerContext context, String cause) {
        closeAndTakeCall(context).ifPresent(call -> call.reportFailedAfterSend(cause));
    }

    private Optional<EndpointCall> closeAndTakeCall(ChannelHandlerContext context) {
        final Optional<EndpointCall> failed = currentCall;
        currentCall = Optional.empty();
        NettyFutures.logFailure(context.close());
        return failed;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, "the endpoint closed the connection before its response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        final String detail = "the connection failed: " + cause;
        if (cause instanceof DecoderException) {
            closeAndTakeCall(context).ifPresent(call -> call.reportInvalidResponse(cause.getMessage()));
        } else if (isFaultOfThisNode(cause)) {
            closeAndTakeCall(context).ifPresent(call -> call.reportFailedHere(detail));
        } else {
            fail(context, detail);
        }
    }

    /** Returns whether the failure, such as memory that runs out, says nothing about the endpoint. */
    private static boolean isFaultOfThisNode(Throwable cause) {
        return cause instanceof Error || cause instanceof EncoderException;
    }
}

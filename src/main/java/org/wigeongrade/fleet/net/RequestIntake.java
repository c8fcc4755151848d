package org.wigeongrade.fleet.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.wigeongrade.errors.ErrorKind;

/**
 * Limits the time and the memory that the requests of one connection take until they are complete. Used on the event
 * loop only.
 *
 * <p>Invariants: a request whose head or body is not complete in time, or whose body finds no memory, is refused and its
 * connection closed; the bytes of a body count against the budget until the request has its response.
 */
public final class RequestIntake extends ChannelDuplexHandler {
    private enum State {
        /** No byte of a request has arrived. */
        IDLE,
        HEAD,
        BODY,
        /** The connection is about to close, and further bytes are ignored. */
        REFUSED
    }

    private final MemoryBudget budget;
    private final LongSupplier headTimeoutMs;
    private final long bodyTimeoutMs;
    private final BiConsumer<ErrorKind, String> onRefused;
    private final Deque<Long> unansweredBytes = new ArrayDeque<>();
    private State state = State.IDLE;
    private long currentBytes;
    private long deadlineNanos;
    private boolean timerRuns;

    /**
     * @param budget memory for the bodies of all connections
     * @param headTimeoutMs longest time from the first byte of a head to its end
     * @param bodyTimeoutMs longest time from the end of a head to the end of the body
     * @param onRefused called for each request that is refused, with a description of the cause
     */
    public RequestIntake(
            MemoryBudget budget,
            LongSupplier headTimeoutMs,
            long bodyTimeoutMs,
            BiConsumer<ErrorKind, String> onRefused) {
        this.budget = budget;
        this.headTimeoutMs = headTimeoutMs;
        this.bodyTimeoutMs = bodyTimeoutMs;
        this.onRefused = onRefused;
    }

    /** Adds this handler to a pipeline that ends with the HTTP codec. */
    public void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(this);
        pipeline.addFirst(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
                if (state == State.IDLE) {
                    enter(State.HEAD, headTimeoutMs.getAsLong(), context);
                }
                super.channelRead(context, bytes);
            }
        });
    }

    /** Returns whether a request has begun to arrive and is not complete. */
    public boolean isReceiving() {
        return state == State.HEAD || state == State.BODY;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (state == State.REFUSED) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest) {
            enter(State.BODY, bodyTimeoutMs, context);
        }
        if (message instanceof HttpContent content && !reserve(content)) {
            ReferenceCountUtil.release(message);
            refuse(context, ErrorKind.NO_MEMORY, "no memory for the body after " + currentBytes + " bytes");
            return;
        }
        if (message instanceof LastHttpContent) {
            state = State.IDLE;
            unansweredBytes.addLast(currentBytes);
            currentBytes = 0;
        }
        super.channelRead(context, message);
    }

    private boolean reserve(HttpContent content) {
        final int bytes = content.content().readableBytes();
        final boolean reserved = budget.tryReserve(bytes);
        currentBytes += reserved ? bytes : 0;
        return reserved;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof LastHttpContent && !isInterim(message) && !unansweredBytes.isEmpty()) {
            budget.release(unansweredBytes.removeFirst());
        }
        super.write(context, message, promise);
    }

    private static boolean isInterim(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        budget.release(currentBytes);
        currentBytes = 0;
        unansweredBytes.forEach(budget::release);
        unansweredBytes.clear();
        state = State.REFUSED;
        super.channelInactive(context);
    }

    private void enter(State next, long timeoutMs, ChannelHandlerContext context) {
        state = next;
        deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        if (!timerRuns) {
            startTimer(context);
        }
    }

    private void startTimer(ChannelHandlerContext context) {
        timerRuns = true;
        NettyFutures.logFailure(context.executor()
                .schedule(
                        () -> checkDeadline(context),
                        Math.max(1, deadlineNanos - System.nanoTime()),
                        TimeUnit.NANOSECONDS));
    }

    private void checkDeadline(ChannelHandlerContext context) {
        timerRuns = false;
        if (!isReceiving()) {
            return;
        }
        if (System.nanoTime() - deadlineNanos < 0) {
            startTimer(context);
            return;
        }
        refuse(context, ErrorKind.REQUEST_TOO_SLOW, "the " + state + " of the request was not complete in time");
    }

    private void refuse(ChannelHandlerContext context, ErrorKind kind, String cause) {
        state = State.REFUSED;
        onRefused.accept(kind, cause);
        HttpReply reply = HttpReply.text(kind.httpStatus(), kind.code() + ": " + cause + "\n");
        if (kind.retryAfterMs() > 0) {
            reply = reply.withHeader("retry-after", RetryAfterHeader.format(kind.retryAfterMs()));
        }
        final FullHttpResponse message = reply.toMessage();
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        NettyFutures.logFailure(context.channel().writeAndFlush(message).addListener(ChannelFutureListener.CLOSE));
    }
}

package org.wigeongrade.fleet.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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
import java.util.function.LongSupplier;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.metrics.ClientClosing;

/**
 * Limits the time and the memory that the requests and responses of one connection take while the connection waits for
 * its client. Used on the event loop only.
 *
 * <p>Invariants: a request whose head or body is not complete in time, or that finds no memory, is refused and its
 * connection closed; a request counts against the memory until it has its response, and responses do while the client
 * does not read them.
 */
public final class RequestIntake extends ChannelDuplexHandler implements ClientMemory.Holder {
    /** Bytes of a head that are not counted; the heads of usual requests are smaller. */
    private static final int UNCOUNTED_HEAD_BYTES = 2_048;
    /** Fields of a head that are not counted. */
    private static final int UNCOUNTED_FIELDS = 32;
    /** Memory that a decoded field takes in addition to its bytes: the objects for its name, value and entry. */
    private static final int FIELD_BYTES = 192;
    /** Memory that each byte of an incomplete head may take, if its fields have four bytes each. */
    private static final int MEMORY_PER_HEAD_BYTE = FIELD_BYTES / 4;

    /** Time for a client to read a refusal, in milliseconds. */
    private static final long MAX_REFUSAL_MS = 2_000;

    private enum State {
        /** No byte of a request has arrived. */
        IDLE,
        HEAD,
        BODY,
        /** The connection is about to close, and further bytes are ignored. */
        REFUSED
    }

    private final ClientMemory memory;
    private final LongSupplier headTimeoutMs;
    private final long bodyTimeoutMs;
    private final ClientClosings closings;
    private final Deque<Long> unansweredBytes = new ArrayDeque<>();
    private State state = State.IDLE;
    private long currentBytes;
    private long headBytes;
    private long countedHeadBytes;
    private long unreadResponseBytes;
    private long waitingSinceNanos = System.nanoTime();
    private boolean served;
    private boolean shed;
    private ChannelHandlerContext context;
    private long deadlineNanos;
    private boolean timerRuns;

    /**
     * @param memory memory for all connections
     * @param headTimeoutMs longest time from the first byte of a head to its end
     * @param bodyTimeoutMs longest time from the end of a head to the end of the body
     * @param closings counts each request that is refused, and each connection that is closed
     */
    public RequestIntake(ClientMemory memory, LongSupplier headTimeoutMs, long bodyTimeoutMs, ClientClosings closings) {
        this.memory = memory;
        this.headTimeoutMs = headTimeoutMs;
        this.bodyTimeoutMs = bodyTimeoutMs;
        this.closings = closings;
    }

    /** Adds this handler to a pipeline that ends with the HTTP codec. */
    public void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(this).addLast(new BodyPieceMerger());
        pipeline.addFirst(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext first, Object bytes) throws Exception {
                if (state == State.REFUSED || !countHeadBytes((ByteBuf) bytes)) {
                    ReferenceCountUtil.release(bytes);
                    return;
                }
                super.channelRead(first, bytes);
            }
        });
    }

    /** Counts what arrived if it may belong to a head; refuses the request and returns false if it finds no memory. */
    private boolean countHeadBytes(ByteBuf bytes) {
        if (state == State.IDLE) {
            enter(State.HEAD, headTimeoutMs.getAsLong(), context);
        }
        if (state != State.HEAD) {
            return true;
        }
        headBytes += bytes.readableBytes();
        final long counted = Math.max(0, headBytes - UNCOUNTED_HEAD_BYTES) * MEMORY_PER_HEAD_BYTE;
        if (!memory.tryReserve(this, counted - countedHeadBytes)) {
            refuse(context, ClientClosing.NO_MEMORY_LEFT, "no memory for a head of " + headBytes + " bytes");
            return false;
        }
        countedHeadBytes = counted;
        return true;
    }

    /** Returns whether a request has begun to arrive and is not complete. */
    public boolean isReceiving() {
        return state == State.HEAD || state == State.BODY;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        memory.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) throws Exception {
        if (state == State.REFUSED) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest) {
            enter(State.BODY, bodyTimeoutMs, reading);
        }
        if (!reserve(message)) {
            ReferenceCountUtil.release(message);
            refuse(reading, ClientClosing.NO_MEMORY_LEFT, "no memory for the request after " + currentBytes + " bytes");
            return;
        }
        if (message instanceof LastHttpContent) {
            state = State.IDLE;
            served = true;
            waitingSinceNanos = System.nanoTime();
            unansweredBytes.addLast(currentBytes);
            currentBytes = 0;
        }
        super.channelRead(reading, message);
    }

    private boolean reserve(Object message) {
        long bytes = 0;
        if (message instanceof HttpRequest head) {
            releaseHead();
            bytes += (long) Math.max(0, head.headers().size() - UNCOUNTED_FIELDS) * FIELD_BYTES;
        }
        if (message instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        final boolean reserved = memory.tryReserve(this, bytes);
        currentBytes += reserved ? bytes : 0;
        return reserved;
    }

    private void releaseHead() {
        memory.release(countedHeadBytes);
        countedHeadBytes = 0;
        headBytes = 0;
    }

    /**
     * Counts the responses that the client does not read, from when they exceed the connection's buffers. Whoever writes
     * more than these hold has memory of its own for it.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) throws Exception {
        memory.release(unreadResponseBytes);
        unreadResponseBytes = 0;
        final ChannelOutboundBuffer unwritten = changed.channel().unsafe().outboundBuffer();
        if (!changed.channel().isWritable() && unwritten != null) {
            waitingSinceNanos = System.nanoTime();
            unreadResponseBytes = Math.min(
                    unwritten.totalPendingWriteBytes(),
                    changed.channel().config().getWriteBufferHighWaterMark());
            if (!memory.tryReserve(this, unreadResponseBytes)) {
                unreadResponseBytes = 0;
                shed(ClientClosing.NO_MEMORY_LEFT, "no memory for responses that are not read");
                return;
            }
        }
        super.channelWritabilityChanged(changed);
    }

    @Override
    public long heldBytes() {
        return currentBytes + countedHeadBytes + unreadResponseBytes;
    }

    @Override
    public long waitingSinceNanos() {
        return waitingSinceNanos;
    }

    @Override
    public boolean waitsForClient() {
        return state != State.REFUSED && (unansweredBytes.isEmpty() || unreadResponseBytes > 0);
    }

    @Override
    public boolean hasServed() {
        return served;
    }

    /** Returns whether the connection was closed because memory was short. */
    public boolean isShed() {
        return shed;
    }

    @Override
    public void shed(ClientClosing cause, String detail) {
        if (isReceiving() && unreadResponseBytes == 0) {
            refuse(context, cause, detail);
        } else {
            state = State.REFUSED;
            shed = true;
            closings.recordClosed(cause, detail);
            NettyFutures.logFailure(context.channel().close());
        }
        releaseUnfinished();
    }

    private void releaseUnfinished() {
        releaseHead();
        memory.release(currentBytes + unreadResponseBytes);
        currentBytes = 0;
        unreadResponseBytes = 0;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof LastHttpContent && !isInterim(message) && !unansweredBytes.isEmpty()) {
            memory.release(unansweredBytes.removeFirst());
            waitingSinceNanos = System.nanoTime();
            if (state == State.REFUSED && unansweredBytes.isEmpty()) {
                NettyFutures.logFailure(promise.unvoid().addListener(ChannelFutureListener.CLOSE));
            }
        }
        super.write(context, message, promise);
    }

    private static boolean isInterim(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        releaseUnfinished();
        unansweredBytes.forEach(memory::release);
        unansweredBytes.clear();
        state = State.REFUSED;
        memory.remove(this);
        super.channelInactive(context);
    }

    private void enter(State next, long timeoutMs, ChannelHandlerContext context) {
        if (!isReceiving()) {
            waitingSinceNanos = System.nanoTime();
        }
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
        refuse(context, ClientClosing.TOO_SLOW, "the " + state + " of the request was not complete in time");
    }

    /** Refuses the request that is arriving; requests that arrived before it get their responses first. */
    private void refuse(ChannelHandlerContext refused, ClientClosing cause, String detail) {
        state = State.REFUSED;
        closings.recordRefused(cause, detail);
        releaseUnfinished();
        closeLater(refused);
        if (!unansweredBytes.isEmpty()) {
            return;
        }
        final ErrorKind kind = cause.errorKind();
        HttpReply reply = HttpReply.text(kind.httpStatus(), kind.code() + ": " + detail + "\n");
        if (kind.retryAfterMs() > 0) {
            reply = reply.withHeader("retry-after", RetryAfterHeader.format(kind.retryAfterMs()));
        }
        final FullHttpResponse message = reply.toMessage();
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        NettyFutures.logFailure(refused.channel().writeAndFlush(message).addListener(ChannelFutureListener.CLOSE));
    }

    /** Closes the connection even if the client does not read the refusal. */
    private void closeLater(ChannelHandlerContext refused) {
        NettyFutures.logFailure(refused.executor()
                .schedule(
                        () -> {
                            if (unansweredBytes.isEmpty()) {
                                NettyFutures.logFailure(refused.channel().close());
                            }
                        },
                        MAX_REFUSAL_MS,
                        TimeUnit.MILLISECONDS));
    }
}

package org.wigeongrade.fleet.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.fleet.net.RequestIntake;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.CutCause;

/**
 * A connection from a caller. Used on the event loop only.
 *
 * <p>Invariants: requests are processed one at a time, in the order of arrival, and only once everything that had
 * arrived was read, so that a request whose caller has already left is not sent on; while the node stops, the response to
 * the last request that has arrived closes its connection; a connection is idle only once its responses were flushed.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> implements ResponseWriter {
    private static final int BAD_REQUEST = 400;
    /**
     * Maximum of pipelined requests that wait behind the current one; while it is reached, the connection is not read.
     */
    private static final int MAX_PIPELINED = 4;

    /** Time in which a caller sends its first request on a new connection. */
    private static final long FIRST_REQUEST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EntryServices services;
    private final CallerConnections connections;
    private final RequestIntake intake;
    private final boolean fromEntryNode;
    private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private Optional<Exchange> currentExchange = Optional.empty();
    private boolean keepAlive = true;
    private boolean willClose;
    private boolean failedOnThisNode;
    private boolean hasServed;
    private int unflushedWrites;
    private long openedNanos;
    private long idleSinceNanos;

    /** @param fromEntryNode whether the other side is an entry node that relays its callers' requests */
    CallerConnection(
            EntryServices services, CallerConnections connections, RequestIntake intake, boolean fromEntryNode) {
        this.fromEntryNode = fromEntryNode;
        this.services = services;
        this.connections = connections;
        this.intake = intake;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        idleSinceNanos = services.nowNanos();
        openedNanos = idleSinceNanos;
        connections.add(this);
        scheduleIdleCheck(idleTimeoutMs());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext reading, FullHttpRequest message) {
        pipelined.addLast(message.retain());
        updateReading();
        if (currentExchange.isEmpty()) {
            reading.executor().execute(this::serveNext);
        }
    }

    private void serveNext() {
        if (currentExchange.isPresent()
                || willClose
                || !context.channel().isActive()
                || !context.channel().isWritable()) {
            return;
        }
        final FullHttpRequest next = pipelined.pollFirst();
        if (next != null) {
            updateReading();
            serve(next);
            next.release();
        }
    }

    private void updateReading() {
        final boolean roomForMore = pipelined.size() < MAX_PIPELINED;
        context.channel().config().setAutoRead(roomForMore && context.channel().isWritable());
    }

    /**
     * Returns whether no request is being received or served, no response waits for its caller to read, and no request
     * is about to arrive on a new connection.
     */
    boolean isIdle() {
        final boolean expectsFirstRequest = !hasServed && services.nowNanos() - openedNanos < FIRST_REQUEST_WAIT_NANOS;
        return currentExchange.isEmpty() && !anotherRequestArrived() && unflushedWrites == 0 && !expectsFirstRequest;
    }

    /** Closes the connection if it is idle. */
    void closeIfIdle() {
        if (isIdle()) {
            NettyFutures.logFailure(context.close());
        }
    }

    /** Ends the request that is being served, if any, with an error. */
    void failUnfinished() {
        currentExchange.ifPresent(Exchange::failWhileStopping);
    }

    private void serve(FullHttpRequest message) {
        hasServed = true;
        keepAlive = HttpUtil.isKeepAlive(message);
        final RelayOrigin origin = RelayHeaders.takeOrigin(message.headers());
        final CallerRequest request;
        try {
            request = services.codec().decode(message);
        } catch (WigeongradeException e) {
            keepAlive = false;
            services.events().write(LogEvent.REQUEST_FAILED, "-", e.kind().code(), 0, e.getMessage());
            writeResponse(HttpReply.text(BAD_REQUEST, e.getMessage() + "\n"));
            return;
        }
        final Exchange exchange = new Exchange(
                services, request, fromEntryNode ? Optional.of(origin) : Optional.empty(), this, this::onExchangeEnd);
        currentExchange = Optional.of(exchange);
        if (connections.isRefusing()) {
            exchange.refuseWhileStopping();
        } else {
            connections.stopDeadlineNanos().ifPresent(exchange::limitDeadline);
            start(exchange);
        }
    }

    /** A fault of this node ends the request at once; its caller would wait for a response that never comes. */
    private void start(Exchange exchange) {
        try {
            exchange.start();
        } catch (RuntimeException e) {
            exceptionCaught(context, e);
        }
    }

    private void onExchangeEnd() {
        currentExchange = Optional.empty();
        idleSinceNanos = services.nowNanos();
        context.executor().execute(this::serveNext);
    }

    @Override
    public void writeResponse(HttpReply reply) {
        final var unused = write(reply.toMessage());
    }

    @Override
    public void writeResponse(BufferedResponse response) {
        final BufferedBody body = response.body();
        final FullHttpResponse message;
        try {
            message = toMessage(response);
        } catch (RuntimeException | OutOfMemoryError e) {
            body.release();
            exceptionCaught(context, e);
            return;
        }
        final var unused = write(message).addListener(written -> body.release());
    }

    private static FullHttpResponse toMessage(BufferedResponse response) {
        final DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                response.body().toBuffer());
        message.headers()
                .set(response.headers())
                .set(HttpHeaderNames.CONTENT_LENGTH, response.body().sizeBytes());
        return message;
    }

    private ChannelFuture write(FullHttpResponse message) {
        final boolean closes = closesAfterResponse();
        if (closes) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        final ChannelFuture written = track(context.writeAndFlush(message));
        return closes ? written.addListener(ChannelFutureListener.CLOSE) : written;
    }

    private ChannelFuture track(ChannelFuture write) {
        unflushedWrites++;
        NettyFutures.logFailure(write);
        return write.addListener(flushed -> {
            unflushedWrites--;
            idleSinceNanos = services.nowNanos();
        });
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        final HttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        message.headers().set(headers).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        if (closesAfterResponse()) {
            keepAlive = false;
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        final var unused = track(context.write(message));
    }

    @Override
    public void writeStream(byte[] bytes) {
        final var unused = track(context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))));
    }

    @Override
    public void endStream() {
        final ChannelFuture written = track(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        // The head of a stream that began before the stop did not announce that the connection closes.
        if (!keepAlive || (connections.isClosing() && !anotherRequestArrived())) {
            willClose = true;
            NettyFutures.logFailure(written.addListener(ChannelFutureListener.CLOSE));
        }
    }

    @Override
    public void abort() {
        willClose = true;
        NettyFutures.logFailure(context.close());
    }

    private boolean closesAfterResponse() {
        final boolean goesElsewhere = connections.isClosing() || servesNobody();
        final boolean closes = !keepAlive || (goesElsewhere && !anotherRequestArrived());
        willClose = willClose || closes;
        return closes;
    }

    private boolean anotherRequestArrived() {
        return !pipelined.isEmpty() || intake.isReceiving();
    }

    /** Returns whether callers have to go to another node, because this one neither reaches endpoints nor relays. */
    private boolean servesNobody() {
        return services.endpointLinks().areCut()
                && services.registry().view().relayAddresses().isEmpty();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        currentExchange.ifPresent(exchange ->
                exchange.onCallerWritabilityChanged(changed.channel().isWritable()));
        // While a request is being served, the connection is read on, so that a caller's close is seen.
        if (currentExchange.isEmpty() || changed.channel().isWritable()) {
            updateReading();
        }
        changed.executor().execute(this::serveNext);
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        connections.remove(this);
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
        currentExchange.ifPresent(exchange -> exchange.onCallerDisconnected(closingCause()));
    }

    /** Returns why this node closes the connection while a request is being served; empty if the caller does. */
    private Optional<CutCause> closingCause() {
        if (failedOnThisNode) {
            return Optional.of(CutCause.CONNECTION_FAILED);
        }
        return intake.isShed() ? Optional.of(CutCause.MEMORY_SHORT) : Optional.empty();
    }

    /** An I/O error says that the caller has closed the connection; any other one is a fault of this node. */
    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failedOnThisNode = failedOnThisNode || !(cause instanceof IOException);
        if (failedOnThisNode) {
            currentExchange.ifPresentOrElse(
                    exchange -> exchange.onCallerConnectionFailed(cause),
                    () -> services.events().write(LogEvent.CALLER_CONNECTION_FAILED, "-", cause));
        }
        NettyFutures.logFailure(failed.close());
    }

    private void scheduleIdleCheck(long delayMs) {
        NettyFutures.logFailure(context.executor().schedule(this::checkIdle, delayMs, TimeUnit.MILLISECONDS));
    }

    private void checkIdle() {
        if (!context.channel().isActive()) {
            return;
        }
        final long idleMs = TimeUnit.NANOSECONDS.toMillis(services.nowNanos() - idleSinceNanos);
        if (isIdle() && idleMs >= idleTimeoutMs()) {
            NettyFutures.logFailure(context.close());
            return;
        }
        scheduleIdleCheck(isIdle() ? Math.max(1, idleTimeoutMs() - idleMs) : idleTimeoutMs());
    }

    private long idleTimeoutMs() {
        return services.registry()
                .view()
                .configuration()
                .map(PublishedConfiguration::limits)
                .orElse(CallerLimits.DEFAULT)
                .idleTimeoutMs();
    }
}

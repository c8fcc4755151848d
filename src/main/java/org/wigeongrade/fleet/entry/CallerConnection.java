package org.wigeongrade.fleet.entry;

import io.netty.buffer.Unpooled;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.net.Futures;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.logging.LogEvent;

/**
 * One connection of a caller. Used on the event loop only.
 *
 * <p>Invariants: requests are answered one at a time, in their order; while the node stops, each answer ends its
 * connection.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> implements CallerLink {
    private static final int BAD_REQUEST = 400;
    /** Requests that may wait behind the one that is served; a caller that sends more is not read. */
    private static final int MAX_WAITING = 4;

    private final EntryServices services;
    private final CallerConnections connections;
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private Optional<Exchange> current = Optional.empty();
    private boolean keepAlive = true;
    private boolean broken;
    private long idleSinceNanos;

    CallerConnection(EntryServices services, CallerConnections connections) {
        this.services = services;
        this.connections = connections;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        idleSinceNanos = services.nowNanos();
        connections.add(this);
        scheduleIdleCheck(idleTimeoutMs());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext reading, FullHttpRequest message) {
        if (current.isPresent()) {
            waiting.addLast(message.retain());
            reading.channel().config().setAutoRead(waiting.size() < MAX_WAITING);
            return;
        }
        serve(message);
    }

    /** Returns whether no request is being served. */
    boolean isIdle() {
        return current.isEmpty();
    }

    /** Closes the connection if no request is being served. */
    void closeIfIdle() {
        if (isIdle()) {
            Futures.unwatched(context.close());
        }
    }

    private void serve(FullHttpRequest message) {
        keepAlive = HttpUtil.isKeepAlive(message);
        final CallerRequest request;
        try {
            request = services.codec().decode(message);
        } catch (WigeongradeException e) {
            keepAlive = false;
            services.events().write(LogEvent.REQUEST_FAILED, "-", e.kind().code(), 0, e.getMessage());
            answer(HttpReply.text(BAD_REQUEST, e.getMessage() + "\n"));
            return;
        }
        final Exchange exchange = new Exchange(services, request, this, this::exchangeOver);
        current = Optional.of(exchange);
        exchange.start();
    }

    private void exchangeOver() {
        current = Optional.empty();
        idleSinceNanos = services.nowNanos();
        if (broken || !context.channel().isActive()) {
            return;
        }
        final FullHttpRequest next = waiting.pollFirst();
        context.channel().config().setAutoRead(true);
        if (next != null) {
            context.executor().execute(() -> {
                serve(next);
                next.release();
            });
        }
    }

    @Override
    public void answer(HttpReply reply) {
        write(reply.toMessage());
    }

    @Override
    public void answer(int status, HttpHeaders headers, byte[] body) {
        final DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        message.headers().set(headers).set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        write(message);
    }

    private void write(FullHttpResponse message) {
        if (closesAfterAnswer()) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            Futures.unwatched(context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE));
            return;
        }
        Futures.unwatched(context.writeAndFlush(message));
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        final HttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        message.headers().set(headers).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        if (closesAfterAnswer()) {
            keepAlive = false;
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        Futures.unwatched(context.write(message));
    }

    @Override
    public void writeStream(byte[] bytes) {
        Futures.unwatched(context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))));
    }

    @Override
    public void endStream() {
        final var written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!keepAlive) {
            broken = true;
            Futures.unwatched(written.addListener(ChannelFutureListener.CLOSE));
        }
    }

    @Override
    public void breakOff() {
        broken = true;
        Futures.unwatched(context.close());
    }

    private boolean closesAfterAnswer() {
        final boolean closes = !keepAlive || connections.areClosing();
        broken = broken || closes;
        return closes;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        current.ifPresent(exchange -> exchange.callerReads(changed.channel().isWritable()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        connections.remove(this);
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
        current.ifPresent(Exchange::callerLeft);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        Futures.unwatched(failed.close());
    }

    private void scheduleIdleCheck(long delayMs) {
        Futures.unwatched(context.executor().schedule(this::checkIdle, delayMs, TimeUnit.MILLISECONDS));
    }

    private void checkIdle() {
        if (!context.channel().isActive()) {
            return;
        }
        final long idleMs = TimeUnit.NANOSECONDS.toMillis(services.nowNanos() - idleSinceNanos);
        if (isIdle() && idleMs >= idleTimeoutMs()) {
            Futures.unwatched(context.close());
            return;
        }
        scheduleIdleCheck(isIdle() ? Math.max(1, idleTimeoutMs() - idleMs) : idleTimeoutMs());
    }

    private long idleTimeoutMs() {
        return services.fleet()
                .view()
                .configuration()
                .map(PublishedConfiguration::limits)
                .orElse(CallerLimits.DEFAULT)
                .idleTimeoutMs();
    }
}

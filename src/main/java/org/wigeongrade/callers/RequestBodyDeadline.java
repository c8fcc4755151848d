package org.wigeongrade.callers;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.errors.ErrorJson;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;

/**
 * The deadline for a caller to send its complete request body. When it passes, the caller gets an error response and
 * the connection is closed, because the rest of the body may still arrive on it.
 *
 * <p>Invariant: after {@link #cancel} nothing is sent. Safe for use from any thread; the error is written on the
 * channel's event loop.
 */
final class RequestBodyDeadline {
    private final ScheduledFuture<?> timer;

    private RequestBodyDeadline(ScheduledFuture<?> timer) {
        this.timer = timer;
    }

    /** Starts the timer; when it expires, {@code onExpired} runs before the error response is sent. */
    static RequestBodyDeadline start(
            Channel channel, long timeoutMs, RequestId id, WigeongradeException failure, Runnable onExpired) {
        return new RequestBodyDeadline(channel.eventLoop()
                .schedule(() -> expire(channel, id, failure, onExpired), timeoutMs, TimeUnit.MILLISECONDS));
    }

    /** Cancels the timer because the body is complete or the request was already answered. */
    void cancel() {
        timer.cancel(false);
    }

    private static void expire(Channel channel, RequestId id, WigeongradeException failure, Runnable onExpired) {
        if (!channel.isActive()) {
            return;
        }
        onExpired.run();
        channel.writeAndFlush(errorResponse(id, failure)).addListener(ChannelFutureListener.CLOSE);
    }

    private static DefaultFullHttpResponse errorResponse(RequestId id, WigeongradeException failure) {
        final byte[] body = ErrorJson.render(failure, id.value()).getBytes(StandardCharsets.UTF_8);
        final DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(failure.kind().httpStatus()),
                Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        response.headers().set("X-Request-Id", id.value());
        response.headers().set("X-Wigeongrade-Run", failure.kind().runStatus().headerValue());
        return response;
    }
}

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
import org.wigeongrade.errors.Answers;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;

/**
 * The deadline for a caller to send its whole request body. Past it the caller gets its error and the connection is
 * closed, since the rest of the body may still come.
 *
 * <p>Invariant: after {@link #end} nothing is sent. Safe for use from any thread; it acts on the channel's event loop.
 */
final class BodyDeadline {
    private final ScheduledFuture<?> timer;

    private BodyDeadline(ScheduledFuture<?> timer) {
        this.timer = timer;
    }

    /** Starts the deadline; {@code onPassed} runs before the answer is sent. */
    static BodyDeadline start(
            Channel channel, long timeoutMs, RequestId id, WigeongradeException failure, Runnable onPassed) {
        return new BodyDeadline(channel.eventLoop()
                .schedule(() -> pass(channel, id, failure, onPassed), timeoutMs, TimeUnit.MILLISECONDS));
    }

    /** Ends the deadline: the body is whole, or the request was answered otherwise. */
    void end() {
        timer.cancel(false);
    }

    private static void pass(Channel channel, RequestId id, WigeongradeException failure, Runnable onPassed) {
        if (!channel.isActive()) {
            return;
        }
        onPassed.run();
        channel.writeAndFlush(answer(id, failure)).addListener(ChannelFutureListener.CLOSE);
    }

    private static DefaultFullHttpResponse answer(RequestId id, WigeongradeException failure) {
        final byte[] body = Answers.json(failure, id.value()).getBytes(StandardCharsets.UTF_8);
        final DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(failure.kind().httpStatus()),
                Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        response.headers().set("X-Request-Id", id.value());
        response.headers().set("X-Wigeongrade-Run", failure.kind().runClaim().headerValue());
        return response;
    }
}

package org.wigeongrade.fleet.net;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/**
 * Reports each failed write to the {@code exceptionCaught} of the handlers behind it. A write can fail while the
 * connection stays open, for example for want of direct memory; what follows would then take its place. Stateless; safe
 * for use from any thread.
 *
 * <p>Invariants: added before the encoder, it reports a failure before anything else is written; added behind it, it
 * reports what cannot be encoded. A failure that closes the connection is reported before the connection is seen as
 * closed. The writes that are dropped when a connection is closed are not reported.
 */
@Sharable
public final class WriteFailureHandler extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        final var unused = context.write(message, promise.unvoid()).addListener(written -> {
            final Throwable cause = written.cause();
            if (cause != null && !(cause instanceof ClosedChannelException) && isFirstReport(context, cause)) {
                context.fireExceptionCaught(cause);
            }
        });
    }

    /** An I/O error has closed the connection by itself; after any other one, whoever was told of it has closed it. */
    private static boolean isFirstReport(ChannelHandlerContext context, Throwable cause) {
        return context.channel().isActive() || cause instanceof IOException;
    }
}

package org.wigeongrade.fleet.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.util.concurrent.Future;
import java.lang.System.Logger.Level;

/** Helpers for connections whose close or failure nobody waits for. Stateless; safe for use from any thread. */
public final class NettyFutures {
    private static final System.Logger LOGGER = System.getLogger(NettyFutures.class.getName());

    private NettyFutures() {}

    /** Closes a connection with a reset, so that bytes that have not arrived yet never will. */
    public static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The other side may have closed the connection, so that there is nothing left to reset.
            LOGGER.log(Level.DEBUG, "connection {0} is closed already: {1}", channel, e);
        }
        logFailure(channel.close());
    }

    /** Logs a failure of the operation at debug level only, since the connection's close reports it as well. */
    public static void logFailure(Future<?> operation) {
        final var unused = operation.addListener(done -> {
            if (!done.isSuccess()) {
                LOGGER.log(Level.DEBUG, "network operation failed: {0}", done.cause());
            }
        });
    }
}

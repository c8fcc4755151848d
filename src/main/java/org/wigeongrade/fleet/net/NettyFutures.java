package org.wigeongrade.fleet.net;

import io.netty.util.concurrent.Future;
import java.lang.System.Logger.Level;

/** Logs failures of network operations whose outcome nobody waits for. Stateless; safe for use from any thread. */
public final class NettyFutures {
    private static final System.Logger LOGGER = System.getLogger(NettyFutures.class.getName());

    private NettyFutures() {}

    /** Logs a failure of the operation at debug level only, since the connection's close reports it as well. */
    public static void logFailure(Future<?> operation) {
        final var unused = operation.addListener(done -> {
            if (!done.isSuccess()) {
                LOGGER.log(Level.DEBUG, "network operation failed: {0}", done.cause());
            }
        });
    }
}

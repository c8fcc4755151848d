package org.wigeongrade.fleet.net;

import io.netty.util.concurrent.Future;
import java.lang.System.Logger.Level;

/** What becomes of operations whose outcome nobody waits for. Stateless; safe for use from any thread. */
public final class Futures {
    private static final System.Logger LOGGER = System.getLogger(Futures.class.getName());

    private Futures() {}

    /** Lets an operation run; its failure is written to the debug log, since the connection's end tells of it too. */
    public static void unwatched(Future<?> operation) {
        final var unused = operation.addListener(done -> {
            if (!done.isSuccess()) {
                LOGGER.log(Level.DEBUG, "operation failed: {0}", done.cause());
            }
        });
    }
}

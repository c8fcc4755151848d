package org.wigeongrade.standin;

import com.google.common.util.concurrent.RateLimiter;
import org.kohsuke.args4j.Option;
import ratpack.handling.Context;

/** Simulates the rate-limited weight store. Safe for use from any thread. */
public final class WeightStoreStandin implements AutoCloseable {
    private static final int RETRY_AFTER_SECONDS = 1;

    private final StandinServer server;

    private WeightStoreStandin(StandinServer server) {
        this.server = server;
    }

    /** Starts the weight store. */
    public static WeightStoreStandin start(Options options) throws Exception {
        RateLimiter limiter = RateLimiter.create(options.readsPerSecond);
        String weights = "0".repeat(options.bytes);
        return new WeightStoreStandin(StandinServer.start(
                options.listen, 1, chain -> chain.get("weights/:key", ctx -> read(ctx, limiter, weights))));
    }

    private static void read(Context ctx, RateLimiter limiter, String weights) {
        if (limiter.tryAcquire()) {
            ctx.getResponse().send("application/octet-stream", weights);
            return;
        }
        ctx.getResponse().getHeaders().set("Retry-After", RETRY_AFTER_SECONDS);
        StandinServer.sendJson(ctx, 429, java.util.Map.of("error", "rate_limit"));
    }

    @Override
    public void close() throws Exception {
        server.close();
    }

    /** Command line options of the weight store stand-in. Not safe for concurrent use. */
    public static final class Options implements StandinCommand {
        @Option(name = "--listen", usage = "ip:port", required = true)
        private String listen = "";

        @Option(name = "--reads-per-second", usage = "reads served per second; others get status 429")
        private double readsPerSecond = 10;

        @Option(name = "--bytes", usage = "size of each weight file in bytes")
        private int bytes = 1024;

        @Override
        public AutoCloseable start() throws Exception {
            return WeightStoreStandin.start(this);
        }
    }
}

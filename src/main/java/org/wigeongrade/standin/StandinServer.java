package org.wigeongrade.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.net.InetAddress;
import java.time.Duration;
import java.util.Map;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfigBuilder;

/** HTTP server of a stand-in with a bounded number of threads. Safe for use from any thread. */
final class StandinServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);

    private final RatpackServer server;

    private StandinServer(RatpackServer server) {
        this.server = server;
    }

    /** Starts a server at {@code listen}, {@code ip:port}, with {@code threads} event loops. */
    static StandinServer start(String listen, int threads, Action<Chain> handlers) throws Exception {
        RatpackServer server = RatpackServer.of(spec ->
                spec.serverConfig(config -> configure(config, listen, threads)).handlers(handlers));
        server.start();
        return new StandinServer(server);
    }

    private static void configure(ServerConfigBuilder config, String listen, int threads) throws Exception {
        int colon = listen.lastIndexOf(':');
        config.address(InetAddress.getByName(listen.substring(0, colon)));
        config.port(Integer.parseInt(listen.substring(colon + 1)));
        config.threads(threads);
        config.maxContentLength(MAX_BODY_BYTES);
        config.idleTimeout(IDLE_TIMEOUT);
        config.connectQueueSize(1024);
        config.development(false);
        config.registerShutdownHook(false);
    }

    /** Closes the connection of the request immediately, even if part of the response was sent. */
    static void closeConnection(Context ctx) {
        ChannelFuture unused = channel(ctx).close();
    }

    /** Calls {@code action} if the connection closes before the response is complete. */
    static void whenConnectionCloses(Context ctx, Runnable action) {
        ChannelFuture closeFuture = channel(ctx).closeFuture();
        ChannelFutureListener closed = future -> action.run();
        ChannelFuture unused = closeFuture.addListener(closed);
        ctx.onClose(outcome -> removeListener(closeFuture, closed));
    }

    private static void removeListener(ChannelFuture closeFuture, ChannelFutureListener listener) {
        ChannelFuture unused = closeFuture.removeListener(listener);
    }

    private static Channel channel(Context ctx) {
        return ctx.getDirectChannelAccess().getChannel();
    }

    /** Returns a header of the request, or {@code defaultValue} if it is absent. */
    static String header(Context ctx, String name, String defaultValue) {
        String value = ctx.getRequest().getHeaders().get(name);
        return value == null ? defaultValue : value;
    }

    /** Sends a JSON response. */
    static void sendJson(Context ctx, int status, Object message) {
        ctx.getResponse().status(status).send("application/json", StandinJson.write(message));
    }

    /** Sends a refusal whose header states that no part of the request ran. */
    static void sendRefusal(Context ctx, int status, String reason) {
        ctx.getResponse().getHeaders().set("X-Request-Not-Run", "true");
        String id = header(ctx, "X-Request-Id", "");
        ctx.getResponse().getHeaders().set("X-Request-Id", id);
        sendJson(ctx, status, Map.of("error", reason));
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}

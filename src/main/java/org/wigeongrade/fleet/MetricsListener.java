package org.wigeongrade.fleet;

import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.HttpRequestHandler;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.metrics.Metrics;

/** Serves the metrics of one process as text. Stateless; safe for use from any thread. */
public final class MetricsListener {
    private static final String PATH = "/metrics";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_BODY_BYTES = 1024;

    private MetricsListener() {}

    /** Starts listening. */
    public static HttpListener open(SharedEventLoop loop, InetSocketAddress address, Metrics metrics) {
        return HttpListener.open(
                loop,
                address,
                MAX_HEADER_BYTES,
                pipeline -> pipeline.addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new HttpRequestHandler(
                                call -> CompletableFuture.completedFuture(respond(call, metrics)))));
    }

    private static HttpReply respond(HttpRequestHandler.Request call, Metrics metrics) {
        return call.path().equals(PATH)
                ? HttpReply.text(OK, metrics.render()).withHeader("content-type", Metrics.CONTENT_TYPE)
                : HttpReply.text(NOT_FOUND, "metrics are at " + PATH + "\n");
    }
}

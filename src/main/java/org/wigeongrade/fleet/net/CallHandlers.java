package org.wigeongrade.fleet.net;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Handlers of a connection whose requests are answered by this process itself, with limits on what the client may send
 * and how long it may take. Used on the event loop only.
 *
 * @param memory what the process holds for all clients
 * @param maxBodyBytes largest body
 * @param headTimeoutMs longest time for a head
 * @param bodyTimeoutMs longest time for a body
 * @param idleTimeoutS time without a byte after which the connection is closed
 * @param closings counts each request that is refused, and each connection that is closed
 */
public record CallHandlers(
        ClientMemory memory,
        int maxBodyBytes,
        long headTimeoutMs,
        long bodyTimeoutMs,
        int idleTimeoutS,
        ClientClosings closings) {
    /** Adds the handlers after the HTTP codec of a pipeline. */
    public void addTo(
            ChannelPipeline pipeline, Function<HttpRequestHandler.Request, CompletableFuture<HttpReply>> service) {
        pipeline.addLast(new ReadTimeoutHandler(idleTimeoutS));
        new RequestIntake(memory, () -> headTimeoutMs, bodyTimeoutMs, closings).addTo(pipeline);
        pipeline.addLast(new HttpObjectAggregator(maxBodyBytes)).addLast(new HttpRequestHandler(service));
    }
}

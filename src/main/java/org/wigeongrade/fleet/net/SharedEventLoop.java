package org.wigeongrade.fleet.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** The single event loop of a process; all work for callers and endpoints runs on it. Thread safe. */
public final class SharedEventLoop implements AutoCloseable {
    private static final long QUIET_PERIOD_MS = 0;
    private static final long STOP_TIMEOUT_MS = 500;

    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("io", true));

    /** Returns the group for Netty bootstraps. */
    public EventLoopGroup group() {
        return group;
    }

    /** Returns Netty's event loop. */
    public io.netty.channel.EventLoop eventLoop() {
        return group.next();
    }

    @Override
    public void close() {
        NettyFutures.logFailure(group.shutdownGracefully(QUIET_PERIOD_MS, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}

package org.wigeongrade.fleet.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** The one event loop of a process; everything about callers and endpoints runs on it. Thread safe. */
public final class EventLoop implements AutoCloseable {
    private static final long QUIET_MS = 0;
    private static final long STOP_TIMEOUT_MS = 500;

    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("io", true));

    /** Returns the group to hand to bootstraps. */
    public EventLoopGroup group() {
        return group;
    }

    /** Returns the loop itself. */
    public io.netty.channel.EventLoop loop() {
        return group.next();
    }

    @Override
    public void close() {
        Futures.unwatched(group.shutdownGracefully(QUIET_MS, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}

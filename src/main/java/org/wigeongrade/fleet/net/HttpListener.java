package org.wigeongrade.fleet.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * Listens for HTTP connections on one address. Thread safe.
 *
 * <p>Invariant: the handlers of a connection get each failure of a write as an exception.
 */
public final class HttpListener implements AutoCloseable {
    /** Maximum of connections that wait to be accepted; many clients reconnect at once after an outage. */
    private static final int BACKLOG = 1_024;

    /**
     * Reads of one connection before other connections get their turn. With {@link #READ_BYTES}, it bounds the time for
     * which a client that sends very small pieces keeps the event loop busy.
     */
    private static final int MAX_READS_AT_ONCE = 4;

    private static final int READ_BYTES = 8 * 1024;

    private static final int MAX_INITIAL_LINE_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final Channel channel;

    private HttpListener(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts listening; {@code handlers} adds handlers after the HTTP codec of each connection's pipeline.
     *
     * @throws WigeongradeException with {@link ErrorKind#INTERNAL} if the address cannot be listened on
     */
    public static HttpListener open(
            SharedEventLoop loop, InetSocketAddress address, int maxHeaderBytes, Consumer<ChannelPipeline> handlers) {
        return open(loop, address, () -> maxHeaderBytes, handlers);
    }

    /** Starts listening as above; the limit for heads is read once for each connection. */
    public static HttpListener open(
            SharedEventLoop loop,
            InetSocketAddress address,
            IntSupplier maxHeaderBytes,
            Consumer<ChannelPipeline> handlers) {
        final ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads on after a short read, so that a close that has already arrived is seen with the last request.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_AT_ONCE))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(new WriteFailureHandler())
                                .addLast(new HttpServerCodec(
                                        MAX_INITIAL_LINE_BYTES, maxHeaderBytes.getAsInt(), MAX_CHUNK_BYTES))
                                .addLast(new WriteFailureHandler());
                        handlers.accept(child.pipeline());
                    }
                });
        try {
            return new HttpListener(
                    bootstrap.bind(address).syncUninterruptibly().channel());
        } catch (RuntimeException e) {
            throw new WigeongradeException(ErrorKind.INTERNAL, "cannot listen on " + address + ": " + e, e);
        }
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }
}

package org.wigeongrade.fleet.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how connections are reset. */
final class NettyFuturesTest {
    private final SharedEventLoop loop = new SharedEventLoop();
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        loop.close();
    }

    /** A kept connection that its endpoint has closed must not end what the node does when its links are cut. */
    @Test
    void resetOfAClosedConnectionDoesNotThrow() {
        final Channel channel = connect();
        channel.close().syncUninterruptibly();

        NettyFutures.reset(channel);

        assertThat(channel.isOpen()).isFalse();
    }

    /** A plain close would let a request that the network has held up arrive later. */
    @Test
    void otherSideSeesAResetAndNotAnEnd() throws IOException {
        final Channel channel = connect();
        try (Socket accepted = server.accept()) {
            NettyFutures.reset(channel);

            Assertions.assertThrows(
                    SocketException.class, () -> accepted.getInputStream().read());
        }
    }

    private Channel connect() {
        return new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server.getLocalSocketAddress())
                .syncUninterruptibly()
                .channel();
    }
}

package org.wigeongrade.fleet.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.wigeongrade.decisions.log.Bytes;

/** Sends single requests, each on a connection of its own. Thread safe. */
public final class OneCall {
    private static final int MAX_ANSWER_BYTES = 1024 * 1024;

    private final EventLoop loop;

    /** Status, headers and body of an answer. */
    public record Answer(int status, io.netty.handler.codec.http.HttpHeaders headers, Bytes body) {}

    public OneCall(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Sends a request and gives its answer; fails with {@link java.net.ConnectException} if the address refused, and with
     * {@link TimeoutException} if no whole answer came in time.
     */
    public CompletableFuture<Answer> send(InetSocketAddress address, FullHttpRequest request, int timeoutMs) {
        final CompletableFuture<Answer> answer = new CompletableFuture<>();
        final Bootstrap bootstrap = new Bootstrap()
                .group(loop.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                .addLast(new Reader(answer));
                    }
                });
        final ChannelFuture connecting = bootstrap.connect(address);
        final var unused = connecting.addListener(done -> {
            if (done.isSuccess()) {
                write(connecting.channel(), request, timeoutMs, answer);
                return;
            }
            request.release();
            answer.completeExceptionally(done.cause());
        });
        return answer;
    }

    private static void write(
            Channel channel, FullHttpRequest request, int timeoutMs, CompletableFuture<Answer> answer) {
        Futures.unwatched(channel.writeAndFlush(request));
        Futures.unwatched(channel.eventLoop()
                .schedule(
                        () -> {
                            answer.completeExceptionally(
                                    new TimeoutException("no answer of " + channel.remoteAddress()));
                            Futures.unwatched(channel.close());
                        },
                        timeoutMs,
                        TimeUnit.MILLISECONDS));
    }

    /** Completes the future with the first whole answer. Used on the event loop only. */
    private static final class Reader extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<Answer> answer;

        Reader(CompletableFuture<Answer> answer) {
            this.answer = answer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            final byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            answer.complete(new Answer(response.status().code(), response.headers(), Bytes.wrap(body)));
            Futures.unwatched(context.close());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            answer.completeExceptionally(new IOException("connection closed before the answer"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            answer.completeExceptionally(cause);
            Futures.unwatched(context.close());
        }
    }
}

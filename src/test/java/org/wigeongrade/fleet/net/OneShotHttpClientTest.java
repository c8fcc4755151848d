package org.wigeongrade.fleet.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Pattern: a busy leader asks a VM that answers at once, and one that does not answer. */
final class OneShotHttpClientTest {
    private static final int TIMEOUT_MS = 250;
    private static final int LOOP_BUSY_MS = 500;
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final OneShotHttpClient client = new OneShotHttpClient(loop);
    private final List<Socket> accepted = new ArrayList<>();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        for (final Socket socket : accepted) {
            socket.close();
        }
        server.close();
        loop.close();
    }

    /** While the loop handles a slow request, the answer to a call arrives and the call's timeout passes. */
    @Test
    void delayOfTheEventLoopIsNotTakenForSilence() throws Exception {
        final Thread answering = new Thread(this::answerOnce, "answering");
        answering.start();
        // The first call loads classes, so that the call that is measured is sent before the loop is busy.
        assertThat(send().get().status()).isEqualTo(200);
        answering.join();
        final InetSocketAddress slowAddress = openSlowListener();
        final CompletableFuture<OneShotHttpClient.Response> response = send();
        Uninterruptibles.sleepUninterruptibly(TIMEOUT_MS / 5, TimeUnit.MILLISECONDS);
        try (Socket caller = new Socket(slowAddress.getAddress(), slowAddress.getPort())) {
            caller.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Uninterruptibles.sleepUninterruptibly(TIMEOUT_MS / 5, TimeUnit.MILLISECONDS);
            answerOnce();

            assertThat(response.get().status()).isEqualTo(200);
        }
    }

    private InetSocketAddress openSlowListener() throws IOException {
        final InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        HttpListener.open(
                loop,
                address,
                MAX_HEADER_BYTES,
                pipeline -> pipeline.addLast(new HttpObjectAggregator(MAX_HEADER_BYTES))
                        .addLast(new HttpRequestHandler(call -> {
                            Uninterruptibles.sleepUninterruptibly(LOOP_BUSY_MS, TimeUnit.MILLISECONDS);
                            return CompletableFuture.completedFuture(HttpReply.text(200, "late"));
                        })));
        return address;
    }

    @Test
    void silentVmTimesOut() {
        final CompletableFuture<OneShotHttpClient.Response> response = send();

        final ExecutionException failure = assertThrows(ExecutionException.class, response::get);
        assertThat(failure).hasCauseThat().isInstanceOf(TimeoutException.class);
    }

    private CompletableFuture<OneShotHttpClient.Response> send() {
        final FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        return client.send((InetSocketAddress) server.getLocalSocketAddress(), request, TIMEOUT_MS);
    }

    private void answerOnce() {
        try {
            final Socket socket = server.accept();
            synchronized (accepted) {
                accepted.add(socket);
            }
            assertThat(socket.getInputStream().read()).isEqualTo('G');
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

package org.wigeongrade.fleet.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Pattern: a busy leader asks a VM that answers at once, and one that does not answer. */
final class OneShotHttpClientTest {
    private static final int TIMEOUT_MS = 250;
    private static final int LOOP_BUSY_MS = 500;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    /** More than the buffers of both sides' sockets hold. */
    private static final int LARGE_BYTES = 16_000_000;

    private static final int LARGE_TIMEOUT_MS = 5_000;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final OneShotHttpClient client = new OneShotHttpClient(loop);
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
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

    /** A VM that stopped in the middle of its response's head was taken to have carried out its order. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 202 Acc",
                "HTTP/1.1 202 Accepted\r\n",
                "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\n",
                "HTTP/1.1 202 Accepted\nContent-Type: application/json\n",
                "HTTP/1.0 202 Accepted\r\nContent-Ty",
                "HTTP/1.1 202 Accepted\r\nnocolon\r\n\r\n",
                "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{",
                "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
                "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
                "HTTP/1.1 100 Continue\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 202 Acc",
            })
    void responseThatStopsEarlyIsAFailure(String response) throws Exception {
        final Thread answering = new Thread(() -> answerOnce(response), "answering");
        answering.start();
        final CompletableFuture<OneShotHttpClient.Response> result = send();

        final ExecutionException failure = assertThrows(ExecutionException.class, result::get);
        assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
        answering.join();
    }

    /** Half of a response without a length was taken for an answer if its reset made the write of the request fail. */
    @Test
    void resetWhileTheRequestIsWrittenIsAFailure() throws Exception {
        final Thread answering = new Thread(this::answerHalfAndReset, "answering");
        answering.start();
        final FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, LARGE_BYTES);
        final CompletableFuture<OneShotHttpClient.Response> result =
                client.send((InetSocketAddress) server.getLocalSocketAddress(), request, LARGE_TIMEOUT_MS);

        final ExecutionException failure = assertThrows(ExecutionException.class, result::get);
        assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
        answering.join();
    }

    private void answerHalfAndReset() {
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read(new byte[4_096])).isGreaterThan(0);
            socket.getOutputStream().write("HTTP/1.1 202 Accepted\r\n\r\n{\"gr".getBytes(StandardCharsets.US_ASCII));
            Uninterruptibles.sleepUninterruptibly(LOOP_BUSY_MS, TimeUnit.MILLISECONDS);
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** An interim response was taken for the response to an order, which was then sent again. */
    @Test
    void interimResponseIsSkipped() throws Exception {
        final Thread answering = new Thread(
                () -> answerOnce("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"),
                "answering");
        answering.start();

        assertThat(send().get().status()).isEqualTo(202);
        answering.join();
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
        accepted.add(answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    }

    /** Answers one request and closes its connection. */
    private void answerOnce(String response) {
        try {
            answer(response).close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private Socket answer(String response) {
        try {
            final Socket socket = server.accept();
            final byte[] request = new byte[4_096];
            assertThat(socket.getInputStream().read(request)).isGreaterThan(0);
            assertThat(request[0]).isEqualTo((byte) 'G');
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            return socket;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

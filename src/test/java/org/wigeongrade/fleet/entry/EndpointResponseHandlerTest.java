package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.fleet.net.WriteFailureHandler;
import org.wigeongrade.platform.PlatformCallerCodec;
import org.wigeongrade.responses.ResponseDecoder;

/** Tests late, duplicate, unrelated and truncated responses on one connection to an endpoint. */
final class EndpointResponseHandlerTest {
    private static final String EXPECTED =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\nKeep-Alive: timeout=5\r\n"
                    + "Content-Length: 3\r\n\r\nabc";
    private static final String OTHER =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nother";

    /** Several times every limit on what is neither a body nor an event. */
    private static final int MAX_ENDLESS_BYTES = 4 * 1024 * 1024;

    private final List<String> reported = new ArrayList<>();
    private final List<Long> keptIdleMs = new ArrayList<>();
    private final EmbeddedChannel channel = newChannel();

    private EmbeddedChannel newChannel() {
        final ResponseDecoder decoder = new ResponseDecoder(fault -> {});
        return new EmbeddedChannel(
                decoder,
                new HttpRequestEncoder(),
                new WriteFailureHandler(),
                new EndpointResponseHandler(
                        decoder, new PlatformCallerCodec(), (connection, idleMs) -> keptIdleMs.add(idleMs)));
    }

    @Test
    void completeResponseEndsTheCallAndKeepsTheConnection() {
        sendRequest();
        receive(EXPECTED);

        assertThat(reported).containsExactly("head 200", "abc", "end").inOrder();
        assertThat(keptIdleMs).containsExactly(4_500L);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 1_000})
    void responseToAnotherRequestIsSkipped(int chunkBytes) {
        sendRequest();
        final String both = OTHER + EXPECTED;
        for (int from = 0; from < both.length(); from += chunkBytes) {
            receive(both.substring(from, Math.min(both.length(), from + chunkBytes)));
        }

        assertThat(reported.get(0)).isEqualTo("head 200");
        assertThat(String.join("", reported.subList(1, reported.size()))).isEqualTo("abcend");
    }

    @Test
    void secondResponseAfterTheFirstClosesTheConnection() {
        sendRequest();
        receive(EXPECTED + OTHER);

        assertThat(reported).containsExactly("head 200", "abc", "end").inOrder();
        assertThat(channel.isActive()).isFalse();
    }

    @Test
    void unsolicitedBytesCloseTheConnection() {
        sendRequest();
        receive(EXPECTED);
        receive(OTHER);

        assertThat(channel.isActive()).isFalse();
    }

    /** A late second copy arrives where the response to the next request on the kept connection is due. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // the extra response | whether the next request still gets its own
                "X-Attempt-Id: other\\r\\nContent-Length: 5\\r\\n\\r\\nother | true",
                "X-Attempt-Id: other\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nother\\r\\n0\\r\\n\\r\\n | true",
                "X-Server-Seal: s\\r\\nContent-Length: 5\\r\\n\\r\\nother | false",
                "Content-Length: 5\\r\\n\\r\\nother | false",
            })
    void extraResponseOnAKeptConnectionIsNotTakenForTheNext(String extra, boolean servesNext) {
        sendRequest("first");
        receive(EXPECTED.replace("mine", "first"));
        reported.clear();
        sendRequest();
        receive("HTTP/1.1 200 OK\r\n" + extra.translateEscapes());
        if (channel.isActive()) {
            receive(EXPECTED);
        }

        if (servesNext) {
            assertThat(reported).containsExactly("head 200", "abc", "end").inOrder();
        } else {
            assertThat(reported).hasSize(1);
            assertThat(reported.get(0)).startsWith("failed after send");
            assertThat(channel.isActive()).isFalse();
        }
    }

    /** The beginning of a head on an idle connection turned the next failure into a success. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // what arrives after a complete response: with its last bytes or after them
                "H",
                "\\r\\n",
                "HTTP/1.1 200 OK\\r\\n",
                "HTTP/1.1 200 OK\\r\\nContent-Type: text/plain\\r\\n",
                "HTTP/1.1 200 OK\\nContent-Type: text/plain\\n",
                "HTTP/1.1 100 Continue\\r\\n",
                "HTTP/1.1 100 Continue\\r\\n\\r\\n",
            })
    void anyByteOnAnIdleConnectionClosesIt(String extra) {
        for (final boolean together : new boolean[] {true, false}) {
            final EmbeddedChannel connection = together ? channel : newChannel();
            sendRequest(connection, "first");
            final String response = EXPECTED.replace("mine", "first");
            if (together) {
                receive(connection, response + extra.translateEscapes());
                assertThat(keptIdleMs).isEmpty();
            } else {
                receive(connection, response);
                receive(connection, extra.translateEscapes());
            }

            assertThat(connection.isActive()).isFalse();
        }
    }

    /** The beginning of a head that crossed the next request turned its failure into a success or a refusal. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nRetry-After: 1\r\n",
                "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: first\r\nRetry-After: 0.25\r\n",
                "HTTP/1.1 421 Misdirected\nX-Attempt-Id: first\n",
                "HTTP/1.1 100 Continue\r\nX-Attempt-Id: first\r\n",
            })
    void beginningOfAHeadIsNotJoinedWithTheNextResponse(String head) {
        final String failure = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\n"
                + "Content-Length: 6\r\n\r\nfailed";
        for (int bytes = 1; bytes <= head.length(); bytes++) {
            final EmbeddedChannel connection = newChannel();
            sendRequest(connection, "first");
            receive(connection, EXPECTED.replace("mine", "first"));
            reported.clear();
            sendRequest(connection, "mine");
            receive(connection, head.substring(0, bytes));
            receive(connection, failure);

            assertWithMessage("after %s bytes", bytes).that(reported).hasSize(1);
            assertThat(reported.get(0)).startsWith("failed after send");
            assertThat(connection.isActive()).isFalse();
        }
    }

    /** A second copy of an earlier refusal told callers that a request had not run although it had. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // status line and headers of the refusal | whether it names the earlier request
                "503 Unavailable\\r\\nX-Not-Executed: 1\\r\\nX-Attempt-Id: first | true",
                "429 Too Many\\r\\nX-Attempt-Id: first\\r\\nX-Not-Executed: 1 | true",
                "421 Misdirected\\r\\nX-Attempt-Id: first | true",
                "503 Unavailable\\r\\nX-Not-Executed: 1 | false",
                "421 Misdirected\\r\\nX-Server-Seal: s | false",
            })
    void copyOfAnEarlierRefusalIsNotTakenForTheNextResponse(String head, boolean namesEarlier) {
        final String refusal =
                "HTTP/1.1 " + head.translateEscapes() + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nno";
        for (int bytes = 0; bytes <= refusal.length(); bytes++) {
            final EmbeddedChannel connection = newChannel();
            sendRequest(connection, "first");
            receive(connection, namesEarlier ? refusal : EXPECTED.replace("mine", "first"));
            reported.clear();
            sendRequest(connection, "mine");
            receive(connection, refusal.substring(0, bytes));
            if (connection.isActive()) {
                receive(connection, refusal.substring(bytes) + EXPECTED);
            }

            if (namesEarlier) {
                assertWithMessage("split after %s", bytes).that(reported).containsExactly("head 200", "abc", "end");
            } else {
                assertWithMessage("split after %s", bytes).that(reported).hasSize(1);
                assertThat(reported.get(0)).startsWith("failed after send");
            }
        }
    }

    /** A response that stopped in the middle of its head, or of its framed body, was passed on as a whole one. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // the whole response, of which each shorter beginning is sent | bytes after which its close is its end
                "HTTP/1.1 200 OK\\r\\nX-Attempt-Id: mine\\r\\nX-Server-Seal: s\\r\\nContent-Length: 3\\r\\n\\r\\nabc | 0",
                "HTTP/1.0 200 OK\\r\\nX-Attempt-Id: mine\\r\\nX-Server-Seal: s\\r\\nContent-Length: 3\\r\\n\\r\\nabc | 0",
                "HTTP/1.1 200 OK\\nX-Attempt-Id: mine\\nX-Server-Seal: s\\nContent-Length: 3\\n\\nabc | 0",
                "HTTP/1.1 200 OK\\r\\nX-Attempt-Id: mine\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n0\\r\\n\\r\\n | 0",
                "HTTP/1.1 200 OK\\nX-Attempt-Id: mine\\nTransfer-Encoding: chunked\\n\\n3\\nabc\\n0\\n\\n | 0",
                "HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nX-Attempt-Id: mine\\r\\nContent-Length: 3\\r\\n\\r\\nabc | 0",
                "HTTP/1.1 103 Hints\\r\\nX-Attempt-Id: mine\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nX-Attempt-Id: mine\\r\\nContent-Length: 3\\r\\n\\r\\nabc | 0",
                "HTTP/1.1 200 OK\\r\\nX-Attempt-Id: mine\\r\\nX-Server-Seal: s\\r\\n\\r\\nabc | 3",
                "HTTP/1.0 200 OK\\r\\nX-Attempt-Id: mine\\r\\nX-Server-Seal: s\\r\\n\\r\\nabc | 3",
                "HTTP/1.1 200 OK\\nX-Attempt-Id: mine\\nX-Server-Seal: s\\n\\nabc | 3",
            })
    void responseThatStopsEarlyIsNotComplete(String text, int endsWithCloseBytes) {
        final String response = text.translateEscapes();
        final int atLeastMissing = Math.max(1, endsWithCloseBytes);
        for (final boolean reset : new boolean[] {false, true}) {
            for (int bytes = 0; bytes <= response.length() - atLeastMissing; bytes++) {
                final EmbeddedChannel connection = newChannel();
                reported.clear();
                sendRequest(connection, "mine");
                receive(connection, response.substring(0, bytes));
                if (reset) {
                    connection.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
                }
                connection.close().syncUninterruptibly();

                assertWithMessage("after %s bytes", bytes).that(reported).doesNotContain("end");
                assertThat(reported.get(reported.size() - 1)).startsWith("failed after send");
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // what is sent again and again, without end
                "'' | X-Pad: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\\r\\n",
                "HTTP/1.1  | a",
                "'' | HTTP/1.1 100 Continue\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n | 0",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n | X-Trailer: aaaaaaaaaaaaaaaaaaaa\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX-Attempt-Id: other\\r\\n\\r\\n | aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
                "'' | HTTP/1.1 200 OK\\r\\nX-Attempt-Id: other\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "'' | \\r\\n",
                "'' | \\0",
                "'' | a",
                "HTTP/1.1 200 OK\\r\\nX-Pad: | a",
                "HTTP/1.1 200 OK\\r\\nX-Pad: a\\r\\n | \\sa\\r\\n",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1;x= | a",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\na | a",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\nX-Trailer: | a",
            })
    void bytesWithoutEndCloseTheConnection(String begin, String repeated) {
        sendRequest();
        receive(begin.strip().translateEscapes() + (begin.startsWith("HTTP/1.1  ") ? " " : ""));
        final String block = repeated.translateEscapes().repeat(1_000);
        for (int sentBytes = 0; sentBytes < MAX_ENDLESS_BYTES && channel.isActive(); sentBytes += block.length()) {
            receive(block);
        }

        assertThat(channel.isActive()).isFalse();
        assertThat(reported.get(reported.size() - 1)).startsWith("failed after send");
    }

    @Test
    void switchOfProtocolsFails() {
        sendRequest();
        receive("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n");

        assertThat(channel.isActive()).isFalse();
        assertThat(reported.get(0)).startsWith("failed after send");
    }

    @Test
    void truncatedResponseFails() {
        sendRequest();
        receive(EXPECTED.substring(0, EXPECTED.length() - 1));
        channel.close().syncUninterruptibly();

        assertThat(reported.get(reported.size() - 1)).startsWith("failed after send");
        assertThat(keptIdleMs).isEmpty();
    }

    @Test
    void resetDuringResponseWithoutLengthFails() {
        sendRequest();
        receive("HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\n\r\nab");
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.close().syncUninterruptibly();

        assertThat(reported.get(reported.size() - 1)).startsWith("failed after send");
    }

    @Test
    void responseWithoutLengthEndsWithItsConnection() {
        sendRequest();
        receive("HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\n\r\nab");
        channel.close().syncUninterruptibly();

        assertThat(reported).containsExactly("head 200", "ab", "end").inOrder();
        assertThat(keptIdleMs).isEmpty();
    }

    /** Half of a response without a length was complete if its reset was seen by the write of the request only. */
    @ParameterizedTest
    @MethodSource("failures")
    void failedWriteOfTheRequestEndsItsResponse(Throwable failure, String expected) {
        final HeldWrite held = new HeldWrite();
        channel.pipeline().addFirst(held);
        sendRequest();
        receive("HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\n\r\nab");
        held.fail(failure);
        channel.close().syncUninterruptibly();

        assertThat(reported).hasSize(3);
        assertThat(reported.get(2)).startsWith(expected);
    }

    private static Stream<Arguments> failures() {
        return Stream.of(
                arguments(new IOException("Connection reset by peer"), "failed after send"),
                arguments(new OutOfMemoryError("Cannot reserve direct buffer memory"), "failed here"),
                arguments(new EncoderException("a header that cannot be encoded"), "failed here"));
    }

    /** An endpoint may close its connection after its response without reading the rest of the request. */
    @Test
    void closeBeforeTheRequestIsWrittenEndsAResponseWithoutLength() {
        final HeldWrite held = new HeldWrite();
        channel.pipeline().addFirst(held);
        sendRequest();
        receive("HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\n\r\nab");
        held.fail(new ClosedChannelException());
        channel.close().syncUninterruptibly();

        assertThat(reported).containsExactly("head 200", "ab", "end").inOrder();
    }

    /** The head of the next request arrived at the endpoint where the rest of a body was due. */
    @Test
    void connectionWhoseRequestIsNotWrittenIsNotKept() {
        channel.pipeline().addFirst(new HeldWrite());
        sendRequest();
        receive(EXPECTED);

        assertThat(reported).containsExactly("head 200", "abc", "end").inOrder();
        assertThat(keptIdleMs).isEmpty();
        assertThat(channel.isActive()).isFalse();
    }

    @Test
    void invalidHttpFails() {
        sendRequest();
        receive("\u0001\u0002garbage\r\n\r\n");

        assertThat(reported.get(reported.size() - 1)).startsWith("failed after send");
        assertThat(channel.isActive()).isFalse();
    }

    private void sendRequest() {
        sendRequest("mine");
    }

    private void sendRequest(String attemptId) {
        sendRequest(channel, attemptId);
    }

    private void sendRequest(EmbeddedChannel connection, String attemptId) {
        final EndpointCall call = new EndpointCall(
                Optional.of(attemptId),
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                new Recorder());
        connection.pipeline().get(EndpointResponseHandler.class).send(connection, call);
    }

    private void receive(String text) {
        receive(channel, text);
    }

    private static void receive(EmbeddedChannel connection, String text) {
        connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Holds what is written, as a connection does whose other side does not read. */
    private static final class HeldWrite extends ChannelOutboundHandlerAdapter {
        private final List<ChannelPromise> promises = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext context, Object bytes, ChannelPromise promise) {
            ReferenceCountUtil.release(bytes);
            promises.add(promise);
        }

        void fail(Throwable cause) {
            promises.forEach(promise -> promise.tryFailure(cause));
        }
    }

    private final class Recorder implements EndpointListener {
        @Override
        public void onHead(ResponseHead head) {
            reported.add("head " + head.status());
        }

        @Override
        public void onBody(byte[] bytes) {
            reported.add(new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onComplete() {
            reported.add("end");
        }

        @Override
        public void onNotSent(String cause, boolean refused) {
            reported.add("not sent");
        }

        @Override
        public void onFailedAfterSend(String cause) {
            reported.add("failed after send: " + cause);
        }

        @Override
        public void onFailedHere(String cause) {
            reported.add("failed here: " + cause);
        }
    }
}

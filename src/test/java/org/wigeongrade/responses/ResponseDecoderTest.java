package org.wigeongrade.responses;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests which bytes are decoded as a response, however the network divides them. */
final class ResponseDecoderTest {
    private static final int MANY_TIMES = 100_000;

    private final List<String> faults = new ArrayList<>();
    private final ResponseDecoder decoder = newDecoder();
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);
    private final StringBuilder decoded = new StringBuilder();

    /** Guards against a rule that misses its bytes when they arrive apart, or that is found only at the next line end. */
    @ParameterizedTest
    @EnumSource(BrokenResponses.class)
    void brokenResponseNamesTheRuleThatItBreaks(BrokenResponses broken) {
        for (final int pieceBytes : new int[] {1, 2, 7, Integer.MAX_VALUE}) {
            final EmbeddedChannel connection = startedChannel(HttpMethod.GET);
            final InvalidResponseException failure =
                    assertThrows(InvalidResponseException.class, () -> receive(connection, broken.bytes(), pieceBytes));

            assertWithMessage("in pieces of %s bytes", pieceBytes)
                    .that(failure.fault().code())
                    .isEqualTo(broken.faultCode());
            assertThat(failure).hasMessageThat().matches("[ -~]*");
            assertThat(faults).containsExactly(broken.faultCode());
            faults.clear();
        }
    }

    /** Guards against decoding what follows bytes that are no response. */
    @ParameterizedTest
    @EnumSource(BrokenResponses.class)
    void nothingIsDecodedAfterBrokenBytes(BrokenResponses broken) {
        final EmbeddedChannel connection = startedChannel(HttpMethod.GET);
        assertThrows(InvalidResponseException.class, () -> receive(connection, broken.bytes(), Integer.MAX_VALUE));
        final String before = drain(connection);
        receive(connection, SoundResponses.LENGTH.bytes(), 1);
        connection.close().syncUninterruptibly();

        assertThat(drain(connection)).isEmpty();
        assertThat(before).doesNotContain("end");
    }

    /** Guards against a check of responses that fails those which endpoints may send. */
    @ParameterizedTest
    @EnumSource(SoundResponses.class)
    void soundResponseIsDecoded(SoundResponses sound) {
        for (final int pieceBytes : new int[] {1, 2, 7, Integer.MAX_VALUE}) {
            final EmbeddedChannel connection = startedChannel(HttpMethod.GET);
            receive(connection, sound.bytes(), pieceBytes);
            connection.close().syncUninterruptibly();

            assertWithMessage("in pieces of %s bytes", pieceBytes)
                    .that(drain(connection).replaceAll("1\\d\\d:end;", ""))
                    .isEqualTo(sound.status() + ":" + sound.body() + "end;");
        }
    }

    /** Guards against a part of a response that is complete because its sender closed the connection. */
    @ParameterizedTest
    @EnumSource(
            value = SoundResponses.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NO_LENGTH", "NO_LENGTH_IN_HTTP_1_0"})
    void beginningOfASoundResponseIsNotComplete(SoundResponses sound) {
        IntStream.range(0, sound.bytes().length()).forEach(bytes -> {
            final EmbeddedChannel connection = startedChannel(HttpMethod.GET);
            receive(connection, sound.bytes().substring(0, bytes), Integer.MAX_VALUE);
            closeIgnoringFailure(connection);

            assertWithMessage("after %s bytes", bytes)
                    .that(drain(connection).replaceAll("1\\d\\d:end;", ""))
                    .doesNotContain("end");
        });
    }

    @ParameterizedTest
    @EnumSource(
            value = SoundResponses.class,
            names = {"LENGTH", "CHUNKS", "NO_LENGTH"})
    void responseToHeadEndsWithItsHead(SoundResponses sound) {
        final EmbeddedChannel connection = startedChannel(HttpMethod.HEAD);
        final String head = sound.bytes().substring(0, sound.bytes().indexOf("\r\n\r\n") + 4);
        receive(connection, head, 1);

        assertThat(drain(connection)).isEqualTo("200:end;");
        assertThat(connection.pipeline().get(ResponseDecoder.class).stop()).isTrue();
    }

    /** Guards against the bytes of a second response that count as decoded, so that its connection is kept. */
    @Test
    void bytesBehindAResponseAreLeft() {
        decoder.start(HttpMethod.GET);
        receive(channel, SoundResponses.LENGTH.bytes(), Integer.MAX_VALUE);
        assertThat(decoder.stop()).isTrue();
        decoder.start(HttpMethod.GET);
        receive(channel, SoundResponses.LENGTH.bytes(), Integer.MAX_VALUE);
        assertThat(decoder.stop()).isTrue();

        assertThat(drain(channel)).isEqualTo("200:abcend;200:abcend;");
    }

    /** Guards against bodies that are held as a whole, or cut, where a response has very many small chunks. */
    @Test
    void manyChunksAreDecodedInOrder() {
        decoder.start(HttpMethod.GET);
        receive(channel, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Integer.MAX_VALUE);
        receive(channel, "1\r\na\r\n".repeat(MANY_TIMES) + "0\r\n\r\n", 1_000);

        assertThat(drain(channel)).isEqualTo("200:" + "a".repeat(MANY_TIMES) + "end;");
    }

    private ResponseDecoder newDecoder() {
        return new ResponseDecoder(fault -> faults.add(fault.code()));
    }

    private EmbeddedChannel startedChannel(HttpMethod method) {
        final ResponseDecoder started = newDecoder();
        started.start(method);
        return new EmbeddedChannel(started);
    }

    private static void receive(EmbeddedChannel connection, String text, int pieceBytes) {
        for (int from = 0; from < text.length(); from += Math.min(pieceBytes, text.length())) {
            final int to = pieceBytes < text.length() - from ? from + pieceBytes : text.length();
            connection.writeInbound(Unpooled.copiedBuffer(text.substring(from, to), StandardCharsets.ISO_8859_1));
        }
    }

    private static void closeIgnoringFailure(EmbeddedChannel connection) {
        connection.close().syncUninterruptibly();
        try {
            connection.checkException();
        } catch (io.netty.handler.codec.DecoderException e) {
            assertThat(e).hasMessageThat().contains("cannot be decoded");
        }
    }

    /** Returns what was decoded: status, body and end of each response. */
    private String drain(EmbeddedChannel connection) {
        decoded.setLength(0);
        for (Object part = connection.readInbound(); part != null; part = connection.readInbound()) {
            if (part instanceof HttpResponse response) {
                decoded.append(response.status().code()).append(':');
            }
            if (part instanceof HttpContent content) {
                decoded.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (part instanceof LastHttpContent) {
                decoded.append("end;");
            }
            ReferenceCountUtil.release(part);
        }
        return decoded.toString();
    }
}

package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.platform.CallerMessages;

/** Answers that are late, doubled, foreign or cut, on one connection to an endpoint. */
final class EndpointChannelTest {
    private static final String OWN =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\nKeep-Alive: timeout=5\r\n"
                    + "Content-Length: 3\r\n\r\nabc";
    private static final String FOREIGN =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nother";

    private final List<String> heard = new ArrayList<>();
    private final List<Long> kept = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(
            new HttpClientCodec(), new EndpointChannel(new CallerMessages(), (connection, idleMs) -> kept.add(idleMs)));

    @Test
    void wholeAnswerEndsTheCallAndKeepsTheConnection() {
        begin();
        receive(OWN);

        assertThat(heard).containsExactly("head 200", "abc", "end").inOrder();
        assertThat(kept).containsExactly(4_500L);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 1_000})
    void answerOfAnotherRequestIsSkipped(int pieceBytes) {
        begin();
        final String both = FOREIGN + OWN;
        for (int from = 0; from < both.length(); from += pieceBytes) {
            receive(both.substring(from, Math.min(both.length(), from + pieceBytes)));
        }

        assertThat(heard.get(0)).isEqualTo("head 200");
        assertThat(String.join("", heard.subList(1, heard.size()))).isEqualTo("abcend");
    }

    @Test
    void secondAnswerBehindTheFirstClosesTheConnection() {
        begin();
        receive(OWN + FOREIGN);

        assertThat(heard).containsExactly("head 200", "abc", "end").inOrder();
        assertThat(channel.isActive()).isFalse();
    }

    @Test
    void bytesThatNobodyAskedForCloseTheConnection() {
        begin();
        receive(OWN);
        receive(FOREIGN);

        assertThat(channel.isActive()).isFalse();
    }

    @Test
    void answerThatIsCutIsBroken() {
        begin();
        receive(OWN.substring(0, OWN.length() - 1));
        channel.close().syncUninterruptibly();

        assertThat(heard.get(heard.size() - 1)).startsWith("broken");
        assertThat(kept).isEmpty();
    }

    @Test
    void resetWithinAnAnswerWithoutLengthIsBroken() {
        begin();
        receive("HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\n\r\nab");
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.close().syncUninterruptibly();

        assertThat(heard.get(heard.size() - 1)).startsWith("broken");
    }

    @Test
    void answerWithoutLengthIsWholeWithItsConnection() {
        begin();
        receive("HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nX-Server-Seal: s\r\n\r\nab");
        channel.close().syncUninterruptibly();

        assertThat(heard).containsExactly("head 200", "ab", "end").inOrder();
        assertThat(kept).isEmpty();
    }

    @Test
    void bytesThatAreNoAnswerAreBroken() {
        begin();
        receive("\u0001\u0002garbage\r\n\r\n");

        assertThat(heard.get(heard.size() - 1)).startsWith("broken");
        assertThat(channel.isActive()).isFalse();
    }

    private void begin() {
        final EndpointCall call = new EndpointCall(
                Optional.of("mine"),
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                new Recorder());
        call.sentOn(channel);
        channel.pipeline().get(EndpointChannel.class).begin(call);
        channel.writeOutbound(call.message());
    }

    private void receive(String text) {
        final ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        channel.writeInbound(bytes);
    }

    private final class Recorder implements EndpointListener {
        @Override
        public void onHead(AnswerHead head) {
            heard.add("head " + head.status());
        }

        @Override
        public void onBody(byte[] bytes) {
            heard.add(new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
            heard.add("end");
        }

        @Override
        public void onNotSent(String cause, boolean refused) {
            heard.add("not sent");
        }

        @Override
        public void onBroken(String cause) {
            heard.add("broken: " + cause);
        }
    }
}

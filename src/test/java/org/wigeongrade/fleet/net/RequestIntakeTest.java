package org.wigeongrade.fleet.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.errors.ErrorKind;

/** Tests requests that arrive slowly or never end, and the memory that requests take. */
final class RequestIntakeTest {
    private static final int MAX_BODY_BYTES = 1_000;
    private static final int BUDGET_BYTES = 1_500;
    private static final long HEAD_TIMEOUT_MS = 40;
    private static final long BODY_TIMEOUT_MS = 80;

    private final ClientMemory budget = new ClientMemory(BUDGET_BYTES, Integer.MAX_VALUE, System::nanoTime);
    private final List<ErrorKind> refused = new ArrayList<>();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // received, time without another byte, refused with status
                "GET / HT | 60 | 408",
                "GET / HTTP/1.1\\r\\nX-A: | 60 | 408",
                "POST / HTTP/1.1\\r\\nContent-Length: 5\\r\\n\\r\\nab | 120 | 408",
                "POST / HTTP/1.1\\r\\nContent-Length: 5\\r\\n\\r\\nab | 20 | 0",
                "GET / HTTP/1.1\\r\\n\\r\\n | 120 | 0",
            })
    void incompleteRequestIsRefusedInTime(String received, long waitMs, int status) throws InterruptedException {
        final EmbeddedChannel channel = open();
        receive(channel, received.translateEscapes());
        TimeUnit.MILLISECONDS.sleep(waitMs);
        channel.runPendingTasks();

        assertThat(statusWritten(channel)).isEqualTo(status);
        assertThat(channel.isActive()).isEqualTo(status == 0);
        assertThat(refused).hasSize(status == 0 ? 0 : 1);
    }

    @Test
    void bodyThatFindsNoMemoryIsRefusedAndItsBytesAreFreed() {
        final EmbeddedChannel first = open();
        receive(first, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + "a".repeat(900));
        final EmbeddedChannel second = open();
        receive(second, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + "a".repeat(900));

        assertThat(statusWritten(second)).isEqualTo(503);
        assertThat(refused).containsExactly(ErrorKind.NO_MEMORY);
        assertThat(budget.reservedBytes()).isEqualTo(900);
        first.writeOutbound(HttpReply.text(200, "done").toMessage());
        assertThat(budget.reservedBytes()).isEqualTo(0);
    }

    @Test
    void closedConnectionFreesItsBytes() {
        final EmbeddedChannel channel = open();
        receive(channel, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + "a".repeat(500));
        assertThat(budget.reservedBytes()).isEqualTo(500);
        final var unused = channel.close();

        assertThat(budget.reservedBytes()).isEqualTo(0);
    }

    private EmbeddedChannel open() {
        final EmbeddedChannel channel = new EmbeddedChannel(new HttpServerCodec());
        new RequestIntake(budget, () -> HEAD_TIMEOUT_MS, BODY_TIMEOUT_MS, (kind, cause) -> refused.add(kind))
                .addTo(channel.pipeline());
        channel.pipeline().addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
        return channel;
    }

    private static void receive(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        final FullHttpRequest request = channel.readInbound();
        if (request != null) {
            request.release();
        }
    }

    /** Returns the status of the response that was written; 0 if there is none. */
    private static int statusWritten(EmbeddedChannel channel) {
        final ByteBuf written = channel.readOutbound();
        if (written == null) {
            return 0;
        }
        final String head = written.toString(StandardCharsets.ISO_8859_1);
        return Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
    }
}

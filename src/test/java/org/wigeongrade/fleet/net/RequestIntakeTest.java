package org.wigeongrade.fleet.net;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.ClientClosing;
import org.wigeongrade.metrics.Metrics;

/** Tests requests that arrive slowly or never end, and the memory that requests take. */
final class RequestIntakeTest {
    private static final int MAX_BODY_BYTES = 1_000;
    private static final int BUDGET_BYTES = 1_500;
    private static final int MAX_CONNECTIONS = 3;
    private static final long HEAD_TIMEOUT_MS = 40;
    private static final long BODY_TIMEOUT_MS = 80;

    private final ClientMemory budget = new ClientMemory(BUDGET_BYTES, MAX_CONNECTIONS, System::nanoTime);
    private final Metrics metrics = new Metrics();
    private final ClientClosings recorder = new ClientClosings(metrics, new EventLog());

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
        assertThat(closings()).isEqualTo(status == 0 ? ImmutableMap.of() : ImmutableMap.of(ClientClosing.TOO_SLOW, 1));
    }

    @Test
    void bodyThatFindsNoMemoryIsRefusedAndItsBytesAreFreed() {
        final EmbeddedChannel first = open();
        receive(first, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + "a".repeat(900));
        final EmbeddedChannel second = open();
        receive(second, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + "a".repeat(900));

        assertThat(statusWritten(second)).isEqualTo(503);
        assertThat(closings()).containsExactly(ClientClosing.NO_MEMORY_LEFT, 1);
        assertThat(budget.reservedBytes()).isEqualTo(900);
        first.writeOutbound(HttpReply.text(200, "done").toMessage());
        assertThat(budget.reservedBytes()).isEqualTo(0);
    }

    @Test
    void clientThatHoldsMostMakesRoomForAnother() {
        final EmbeddedChannel slow = open();
        receive(slow, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + "a".repeat(899));
        final EmbeddedChannel quick = open();
        receive(quick, "POST / HTTP/1.1\r\nContent-Length: 700\r\n\r\n" + "a".repeat(700));

        assertThat(statusWritten(slow)).isEqualTo(503);
        assertThat(statusWritten(quick)).isEqualTo(0);
        assertThat(closings()).containsExactly(ClientClosing.HELD_MOST, 1);
        assertThat(budget.reservedBytes()).isEqualTo(700);
    }

    @Test
    void connectionThatHasWaitedLongestMakesRoomForANewOne() {
        final List<EmbeddedChannel> channels =
                Stream.generate(this::open).limit(MAX_CONNECTIONS + 1).toList();

        assertThat(channels.stream().map(EmbeddedChannel::isActive).toList())
                .containsExactly(false, true, true, true)
                .inOrder();
        assertThat(closings()).containsExactly(ClientClosing.TOO_MANY_CONNECTIONS, 1);
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
        new RequestIntake(budget, () -> HEAD_TIMEOUT_MS, BODY_TIMEOUT_MS, recorder).addTo(channel.pipeline());
        channel.pipeline().addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
        return channel;
    }

    /** Returns how many connections were closed for each cause that occurred. */
    private ImmutableMap<ClientClosing, Integer> closings() {
        return Stream.of(ClientClosing.values())
                .filter(cause -> counted(cause) > 0)
                .collect(ImmutableMap.toImmutableMap(cause -> cause, this::counted));
    }

    private int counted(ClientClosing cause) {
        final String series = "wigeongrade_client_closings_total{cause=\"" + cause.code() + "\"} ";
        final String rendered = metrics.render();
        final int start = rendered.indexOf(series) + series.length();
        return (int) Double.parseDouble(rendered.substring(start, rendered.indexOf('\n', start)));
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

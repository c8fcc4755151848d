package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ServerSentEventSplitterTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: x\ndata: three\n\n";

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1_000})
    void eventsDoNotDependOnHowTheBytesAreChunked(int chunkBytes) {
        final ServerSentEventSplitter splitter = new ServerSentEventSplitter();
        final List<ServerSentEventSplitter.Event> events = new ArrayList<>();
        final byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += chunkBytes) {
            final int to = Math.min(bytes.length, from + chunkBytes);
            events.addAll(splitter.accept(java.util.Arrays.copyOfRange(bytes, from, to)));
        }

        assertThat(events.stream().map(ServerSentEventSplitter.Event::id))
                .containsExactly(OptionalLong.of(1), OptionalLong.of(2), OptionalLong.empty())
                .inOrder();
        assertThat(text(events)).isEqualTo(STREAM);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void incompleteEventIsNeverReturned() {
        final ServerSentEventSplitter splitter = new ServerSentEventSplitter();

        assertThat(splitter.accept("id: 1\ndata: on".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
        assertThat(splitter.hasPartialEvent()).isTrue();
    }

    private static String text(List<ServerSentEventSplitter.Event> events) {
        final StringBuilder text = new StringBuilder();
        events.forEach(event -> text.append(new String(event.bytes().array(), StandardCharsets.UTF_8)));
        return text.toString();
    }
}

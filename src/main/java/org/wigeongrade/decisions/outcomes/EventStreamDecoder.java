package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the bytes of a {@code text/event-stream} into the data of complete events.
 *
 * <p>Invariant: an event is returned only after the empty line that ends it was received; an incomplete event at the
 * end of a broken stream is never returned. Not thread-safe: used by one request's worker.
 */
public final class EventStreamDecoder {
    private static final String DATA_FIELD = "data:";

    private final int maxEventBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final List<String> eventData = new ArrayList<>();
    private int eventBytes;

    /** @param maxEventBytes maximum size of one event, in bytes */
    public EventStreamDecoder(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Decodes the next bytes and returns the data of each event that they complete; throws
     * {@link IllegalArgumentException} if an event is too large.
     */
    public ImmutableList<String> accept(byte[] bytes) {
        ImmutableList.Builder<String> events = ImmutableList.builder();
        for (byte next : bytes) {
            if (next == '\n') {
                endLine(events);
            } else {
                append(next);
            }
        }
        return events.build();
    }

    private void append(byte next) {
        eventBytes++;
        if (eventBytes > maxEventBytes) {
            throw new IllegalArgumentException("event of the stream exceeds " + maxEventBytes + " bytes");
        }
        line.write(next);
    }

    private void endLine(ImmutableList.Builder<String> events) {
        String text = stripCarriageReturn(line.toString(StandardCharsets.UTF_8));
        line.reset();
        if (text.isEmpty()) {
            endEvent(events);
            return;
        }
        if (text.startsWith(DATA_FIELD)) {
            String value = text.substring(DATA_FIELD.length());
            eventData.add(value.startsWith(" ") ? value.substring(1) : value);
        }
    }

    private void endEvent(ImmutableList.Builder<String> events) {
        eventBytes = 0;
        if (eventData.isEmpty()) {
            return;
        }
        events.add(String.join("\n", eventData));
        eventData.clear();
    }

    private static String stripCarriageReturn(String text) {
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}

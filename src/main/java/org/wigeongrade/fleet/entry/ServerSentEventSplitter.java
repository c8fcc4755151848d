package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.wigeongrade.decisions.log.Bytes;

/**
 * Splits the bytes of a {@code text/event-stream} into complete events without changing them.
 *
 * <p>Invariant: an event is returned only after the empty line that ends it has arrived. Not thread safe.
 */
final class ServerSentEventSplitter {
    private static final String ID_FIELD = "id:";
    private static final byte COMMENT = ':';

    /** The bytes of one event as they were sent, with its id if it has a numeric one. */
    record Event(Bytes bytes, OptionalLong id) {
        /** Returns whether this holds no data, but keeps the connection open. */
        boolean isComment() {
            return bytes.array().length > 0 && bytes.array()[0] == COMMENT;
        }
    }

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private OptionalLong id = OptionalLong.empty();

    /** Accepts the next bytes and returns the events that they complete. */
    ImmutableList<Event> accept(byte[] bytes) {
        final ImmutableList.Builder<Event> events = ImmutableList.builder();
        for (final byte next : bytes) {
            event.write(next);
            if (next != '\n') {
                line.write(next);
            } else if (endLine()) {
                events.add(new Event(Bytes.wrap(event.toByteArray()), id));
                event.reset();
                id = OptionalLong.empty();
            }
        }
        return events.build();
    }

    /** Returns the number of bytes of the event that has not ended. */
    int partialBytes() {
        return event.size();
    }

    /** Returns whether an event has started but not ended. */
    boolean hasPartialEvent() {
        return event.size() > 0;
    }

    /** Processes a completed line; returns whether it is the empty line that ends an event. */
    private boolean endLine() {
        final String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.startsWith(ID_FIELD)) {
            id = parseId(text.substring(ID_FIELD.length()).strip());
        }
        return text.isEmpty();
    }

    /** Returns a numeric id. Any other id is forwarded with its event, but a stream cannot be resumed after it. */
    private static OptionalLong parseId(String text) {
        final Long parsed = com.google.common.primitives.Longs.tryParse(text);
        return parsed == null ? OptionalLong.empty() : OptionalLong.of(parsed);
    }
}

package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.wigeongrade.decisions.log.Bytes;

/**
 * Cuts the bytes of a {@code text/event-stream} into whole events, unchanged.
 *
 * <p>Invariant: an event is returned only once its closing empty line came. Not thread safe.
 */
final class EventCutter {
    private static final String ID_FIELD = "id:";

    /** One event as it was sent, with its id if it has one. */
    record Event(Bytes bytes, OptionalLong id) {}

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private OptionalLong id = OptionalLong.empty();

    /** Takes in the next bytes and returns the events that they complete. */
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

    /** Returns whether an event has begun and not ended. */
    boolean hasPartialEvent() {
        return event.size() > 0;
    }

    /** Returns whether the line that ended was the empty one that closes an event. */
    private boolean endLine() {
        final String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.startsWith(ID_FIELD)) {
            id = parseId(text.substring(ID_FIELD.length()).strip());
        }
        return text.isEmpty();
    }

    /** An id that is no number is passed on and cannot be resumed after. */
    private static OptionalLong parseId(String text) {
        final Long parsed = com.google.common.primitives.Longs.tryParse(text);
        return parsed == null ? OptionalLong.empty() : OptionalLong.of(parsed);
    }
}

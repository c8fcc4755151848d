package org.wigeongrade.logging;

import com.google.common.collect.ImmutableMap;

/**
 * One occurrence of a log event.
 *
 * <p>Invariant: {@code fields} holds a value for each field of the event, in its order. {@link #toString} returns the
 * log line {@code event=1001 name=node_started node=entry-1 ... message="..."}. Immutable; safe for use from any
 * thread.
 */
public record EventRecord(LogEvent event, ImmutableMap<String, String> fields) {
    private static final String MISSING_VALUE = "-";

    /** Creates a record from values in the order of the event's fields; a missing value is written as {@code -}. */
    static EventRecord of(LogEvent event, Object... values) {
        final ImmutableMap.Builder<String, String> fields = ImmutableMap.builder();
        for (int i = 0; i < event.fields().size(); i++) {
            final Object value = i < values.length ? values[i] : null;
            fields.put(event.fields().get(i), value == null ? MISSING_VALUE : value.toString());
        }
        return new EventRecord(event, fields.buildKeepingLast());
    }

    /** Returns the message with its fields filled in. */
    public String message() {
        String message = event.template();
        for (final var field : fields.entrySet()) {
            message = message.replace("{" + field.getKey() + "}", field.getValue());
        }
        return message;
    }

    @Override
    public String toString() {
        final StringBuilder line = new StringBuilder();
        line.append("event=").append(event.number()).append(" name=").append(event.code());
        fields.forEach(
                (name, value) -> line.append(' ').append(name).append('=').append(LogfmtValue.quoteIfNeeded(value)));
        return line.append(" message=").append(LogfmtValue.quote(message())).toString();
    }
}

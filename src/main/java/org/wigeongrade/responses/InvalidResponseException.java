package org.wigeongrade.responses;

import io.netty.handler.codec.DecoderException;
import org.wigeongrade.metrics.ResponseFault;

/** Thrown for bytes that are not an HTTP response. Immutable but for what every exception holds; thread safe. */
public final class InvalidResponseException extends DecoderException {
    private static final long serialVersionUID = 1L;
    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_PRINTABLE = '~';

    private final ResponseFault fault;

    /** @param line the line that breaks the rule, up to the byte that does; each character stands for a byte */
    InvalidResponseException(ResponseFault fault, CharSequence line) {
        super("invalid response, " + fault.code() + ": " + fault.rule() + ", unlike \"" + escape(line) + "\"");
        this.fault = fault;
    }

    public ResponseFault fault() {
        return fault;
    }

    private static String escape(CharSequence line) {
        final StringBuilder escaped = new StringBuilder();
        line.chars().forEach(character -> {
            if (character < FIRST_PRINTABLE || character > LAST_PRINTABLE) {
                escaped.append("\\x%02x".formatted(character));
            } else {
                escaped.append((char) character);
            }
        });
        return escaped.toString();
    }
}

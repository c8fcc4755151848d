package org.wigeongrade.logging;

import com.google.common.base.CharMatcher;
import com.google.common.escape.Escaper;
import com.google.common.escape.Escapers;

/**
 * Quotes values so that a record stays on one line and can be split into fields. Stateless; safe for use from any
 * thread.
 */
final class LogfmtValue {
    private static final CharMatcher NEEDS_QUOTES =
            CharMatcher.anyOf(" \"=\\").or(CharMatcher.javaIsoControl()).precomputed();
    private static final Escaper ESCAPER = Escapers.builder()
            .addEscape('"', "\\\"")
            .addEscape('\\', "\\\\")
            .addEscape('\n', "\\n")
            .addEscape('\r', "\\r")
            .addEscape('\t', "\\t")
            .build();

    private LogfmtValue() {}

    /**
     * Returns the value unchanged, or in quotes if it is empty or contains a space, quote, equals sign, backslash or
     * control character.
     */
    static String quoteIfNeeded(String value) {
        return value.isEmpty() || NEEDS_QUOTES.matchesAnyOf(value) ? quote(value) : value;
    }

    /** Returns the value in quotes, with control characters escaped or replaced by a space. */
    static String quote(String value) {
        return '"' + CharMatcher.javaIsoControl().replaceFrom(ESCAPER.escape(value), ' ') + '"';
    }
}

package org.wigeongrade.logging;

import com.google.common.base.CharMatcher;
import com.google.common.escape.Escaper;
import com.google.common.escape.Escapers;

/** Writes values so that a record stays on one line and can be split again. Stateless; safe for use from any thread. */
final class LineText {
    private static final CharMatcher NEEDS_QUOTES =
            CharMatcher.anyOf(" \"=\\").or(CharMatcher.javaIsoControl()).precomputed();
    private static final Escaper ESCAPER = Escapers.builder()
            .addEscape('"', "\\\"")
            .addEscape('\\', "\\\\")
            .addEscape('\n', "\\n")
            .addEscape('\r', "\\r")
            .addEscape('\t', "\\t")
            .build();

    private LineText() {}

    /** Returns the value as it is, or in quotes if it holds a space, quote, equals sign or control character. */
    static String quoted(String value) {
        return value.isEmpty() || NEEDS_QUOTES.matchesAnyOf(value) ? alwaysQuoted(value) : value;
    }

    /** Returns the value in quotes with control characters escaped or replaced by a space. */
    static String alwaysQuoted(String value) {
        return '"' + CharMatcher.javaIsoControl().replaceFrom(ESCAPER.escape(value), ' ') + '"';
    }
}

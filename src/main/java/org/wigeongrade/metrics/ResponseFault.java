package org.wigeongrade.metrics;

import java.util.Locale;

/**
 * The closed list of rules that the bytes of a response must keep, as RFC 9110 and RFC 9112 state them for senders.
 * Immutable; safe for use from any thread.
 */
public enum ResponseFault {
    /** What precedes the status is not the version of an HTTP/1 response. */
    STATUS_LINE("a response begins with \"HTTP/1.\", a digit and one blank"),
    /** The status is not one of HTTP. */
    STATUS("a status has three digits, is from 100 to 599, and is followed by a blank or the end of its line"),
    /** A head switches to another protocol, which no request asks for. */
    SWITCHED_PROTOCOL("a response to a request without an upgrade does not have status 101"),
    /** More interim responses than a caller should wait for. */
    INTERIM_RESPONSES("few interim responses precede the final one"),
    /** A field line has no name, or one that holds a blank, a control byte or a separator. */
    FIELD_NAME("a field line begins with a name of token characters, which a colon follows at once"),
    /** A reason, a field's value or a chunk's extension holds a control byte. */
    TEXT("reasons, values and extensions hold no control bytes but tabs"),
    /** A carriage return stands alone. */
    LINE_END("a line feed follows each carriage return"),
    /** The beginning of a head is followed by another response. */
    JOINED_HEADS("a head holds a single status line"),
    /** The end of the body cannot be told for certain. */
    BODY_LENGTH("a response has a single Content-Length of digits, or is sent in chunks by HTTP/1.1, or has neither"),
    /** The size of a chunk is not a number. */
    CHUNK_SIZE("the size of a chunk consists of hexadecimal digits, and is below 2 GiB"),
    /** A chunk is longer than its size. */
    CHUNK_END("a line end follows each chunk");

    private final String rule;

    ResponseFault(String rule) {
        this.rule = rule;
    }

    /** Returns the code of the broken rule, as it stands in logs and as a metric label. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the rule, for whoever mends the sender. */
    public String rule() {
        return rule;
    }
}

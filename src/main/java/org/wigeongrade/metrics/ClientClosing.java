package org.wigeongrade.metrics;

import java.util.Locale;
import org.wigeongrade.errors.ErrorKind;

/** Why the connection of a client is closed before its next request is complete. Immutable; safe for use from any thread. */
public enum ClientClosing {
    TOO_MANY_CONNECTIONS(
            ErrorKind.NO_MEMORY, "the process has as many connections as it takes, and this one waited longest"),
    HELD_MOST(ErrorKind.NO_MEMORY, "another client needed memory, and this one had held most for longest"),
    NO_MEMORY_LEFT(ErrorKind.NO_MEMORY, "no memory was left, and no other client held more"),
    TOO_SLOW(ErrorKind.REQUEST_TOO_SLOW, "the head or the body of its request was not complete in time");

    private final ErrorKind errorKind;
    private final String meaning;

    ClientClosing(ErrorKind errorKind, String meaning) {
        this.errorKind = errorKind;
        this.meaning = meaning;
    }

    /** Returns the error that the client gets if a request has begun to arrive. */
    public ErrorKind errorKind() {
        return errorKind;
    }

    /** Returns the value of the metric label for the cause. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the description of the cause for the docs. */
    public String meaning() {
        return meaning;
    }
}

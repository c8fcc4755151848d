package org.wigeongrade.decisions.log;

/** A place in the log with the digest of everything up to it. Immutable; safe for use from any thread. */
public record Position(long index, long term, Digest digest) {
    /** The place before the first entry. */
    public static final Position START = new Position(0, 0, Digest.EMPTY_LOG);
}

package org.wigeongrade.decisions.log;

/**
 * Index and term of a log entry, with the digest of the log up to and including it. Immutable; safe for use from any
 * thread.
 */
public record Position(long index, long term, Digest digest) {
    /** The position before the first entry. */
    public static final Position START = new Position(0, 0, Digest.EMPTY_LOG);
}

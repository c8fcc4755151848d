package org.wigeongrade.decisions.log;

/**
 * One entry of the log.
 *
 * <p>Invariant: the digest chains from the entry before it. Immutable; safe for use from any thread.
 */
public record LogEntry(long index, long term, EntryKind kind, Bytes payload, Digest digest) {
    /** Returns the entry that follows a position, with its digest worked out. */
    public static LogEntry after(Position previous, long term, EntryKind kind, Bytes payload) {
        long index = previous.index() + 1;
        return new LogEntry(index, term, kind, payload, previous.digest().chain(index, term, kind, payload));
    }

    public Position position() {
        return new Position(index, term, digest);
    }

    /** Returns whether the digest is the one that follows from the digest of the entry before. */
    boolean follows(Digest previous) {
        return digest.equals(previous.chain(index, term, kind, payload));
    }
}

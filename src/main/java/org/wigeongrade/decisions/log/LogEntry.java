package org.wigeongrade.decisions.log;

/**
 * One entry of the log.
 *
 * <p>Invariant: the digest covers this entry and the digest of the previous one. Immutable; safe for use from any
 * thread.
 */
public record LogEntry(long index, long term, EntryKind kind, Bytes payload, Digest digest) {
    /** Returns the entry that follows a position; computes its digest. */
    public static LogEntry after(Position previous, long term, EntryKind kind, Bytes payload) {
        long index = previous.index() + 1;
        return new LogEntry(index, term, kind, payload, previous.digest().chain(index, term, kind, payload));
    }

    public Position position() {
        return new Position(index, term, digest);
    }

    /** Returns whether the digest is correct for an entry that follows an entry with digest {@code previous}. */
    boolean follows(Digest previous) {
        return digest.equals(previous.chain(index, term, kind, payload));
    }
}

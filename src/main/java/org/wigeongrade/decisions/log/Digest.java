package org.wigeongrade.decisions.log;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Hash chain over the log up to and including one entry: the first 128 bits of SHA-256 over the previous digest and the
 * entry.
 *
 * <p>Invariant: two logs with equal digests at an index hold equal entries up to it. Immutable; safe for use from any
 * thread.
 */
public record Digest(long high, long low) {
    /** Digest of the empty log. */
    public static final Digest EMPTY_LOG = new Digest(0, 0);

    private static final int HEADER_BYTES = 16 + 8 + 8 + 4;

    /** Returns the digest of the log after one more entry. */
    public Digest chain(long index, long term, EntryKind kind, Bytes payload) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(high).putLong(low).putLong(index).putLong(term).putInt(kind.code());
        MessageDigest sha = sha256();
        sha.update(header.array());
        sha.update(payload.array());
        ByteBuffer hash = ByteBuffer.wrap(sha.digest());
        return new Digest(hash.getLong(), hash.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}

package org.wigeongrade.decisions.log;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Running digest of the log up to one entry: the first 128 bits of SHA-256 over the previous digest and the entry.
 *
 * <p>Invariant: two logs with equal digests at an index hold equal entries up to it. Immutable; safe for any thread.
 */
public record Digest(long high, long low) {
    /** Digest of the empty log. */
    public static final Digest EMPTY_LOG = new Digest(0, 0);

    private static final int HEAD_BYTES = 16 + 8 + 8 + 4;

    /** Returns the digest after one more entry. */
    public Digest chain(long index, long term, EntryKind kind, Bytes payload) {
        ByteBuffer head = ByteBuffer.allocate(HEAD_BYTES);
        head.putLong(high).putLong(low).putLong(index).putLong(term).putInt(kind.code());
        MessageDigest sha = sha256();
        sha.update(head.array());
        sha.update(payload.array());
        ByteBuffer sum = ByteBuffer.wrap(sha.digest());
        return new Digest(sum.getLong(), sum.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}

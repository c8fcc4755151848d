package org.wigeongrade.fleet.entry;

import com.google.common.hash.Hashing;
import java.util.Arrays;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.published.DocumentDelta;
import org.wigeongrade.fleet.thrift.EncodedDocument;

/**
 * The latest configuration that an entry node pulled, as it was published, to which the leader sends differences.
 * Immutable; safe for use from any thread.
 *
 * @param version 0 if no document is known
 */
record KnownDocument(long version, Bytes document) {
    static final KnownDocument NONE = new KnownDocument(0, Bytes.EMPTY);

    /** Largest document to accept, in bytes: what an operator may send. */
    private static final int MAX_BYTES = 4 * 1024 * 1024;

    /**
     * Returns the document that was encoded for this node.
     *
     * @throws IllegalArgumentException if it was encoded for another base or does not match its digest
     */
    KnownDocument decode(long newVersion, EncodedDocument encoded) {
        final boolean whole = encoded.getBaseVersion() == NONE.version;
        if (!whole && encoded.getBaseVersion() != version) {
            throw new IllegalArgumentException("configuration version " + newVersion + " was encoded for version "
                    + encoded.getBaseVersion() + ", but this node has " + version);
        }
        final byte[] decoded =
                DocumentDelta.decode((whole ? NONE.document : document).array(), encoded.getDelta(), MAX_BYTES);
        if (!Arrays.equals(Hashing.sha256().hashBytes(decoded).asBytes(), encoded.getSha256())) {
            throw new IllegalArgumentException(
                    "configuration version " + newVersion + " does not match its digest; it will be pulled as a whole");
        }
        return new KnownDocument(newVersion, Bytes.wrap(decoded));
    }
}

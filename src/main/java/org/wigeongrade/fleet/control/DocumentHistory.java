package org.wigeongrade.fleet.control;

import com.google.common.hash.Hashing;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.decisions.published.DocumentDelta;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.fleet.thrift.EncodedDocument;

/**
 * The configurations that this node stored last, each encoded for entry nodes as a difference from one that they have.
 *
 * <p>Invariants: only versions that are committed are held; the documents before the latest take up a bounded amount of
 * memory; each difference is computed once, and recording a document does not wait for that. Thread safe; the lock on
 * {@code encodedByBase} is acquired before that on {@code documents}.
 */
final class DocumentHistory {
    /** Version that stands for an empty document. */
    private static final long NO_VERSION = 0;

    private static final byte[] NOTHING = {};
    /** Documents before the latest that are held; entry nodes are this many changes behind at most while they pull. */
    private static final int MAX_EARLIER = 12;
    /** Memory for the documents before the latest, in bytes; two of the largest bodies that operators may send. */
    private static final long MAX_EARLIER_BYTES = 8L * 1024 * 1024;

    private final TreeMap<Long, byte[]> documents = new TreeMap<>();
    /** Differences of {@code encodedVersion}, by the version of their base. */
    private final Map<Long, EncodedDocument> encodedByBase = new HashMap<>();

    private long encodedVersion = NO_VERSION;

    /** Records the state after a change; called for each change, whether or not the configuration changed. */
    void record(PublishedState state) {
        synchronized (documents) {
            if (state.version() == NO_VERSION || documents.containsKey(state.version())) {
                return;
            }
            state.document().ifPresent(document -> documents.put(state.version(), document));
            while (documents.size() > 1 && (documents.size() > MAX_EARLIER + 1 || earlierBytes() > MAX_EARLIER_BYTES)) {
                documents.pollFirstEntry();
            }
        }
    }

    /**
     * Returns the document of the version as a difference from that of {@code baseVersion}, or as a whole if that one is
     * not held; empty if the version is not held either.
     */
    Optional<EncodedDocument> encode(long version, long baseVersion) {
        synchronized (encodedByBase) {
            final Optional<byte[]> document = find(version);
            if (document.isEmpty()) {
                return Optional.empty();
            }
            if (version != encodedVersion) {
                encodedByBase.clear();
                encodedVersion = version;
            }
            final Optional<byte[]> base = find(baseVersion);
            return Optional.of(encodedByBase.computeIfAbsent(
                    base.isPresent() ? baseVersion : NO_VERSION,
                    heldVersion -> encode(document.get(), heldVersion, base.orElse(NOTHING))));
        }
    }

    private Optional<byte[]> find(long version) {
        synchronized (documents) {
            return Optional.ofNullable(documents.get(version));
        }
    }

    private static EncodedDocument encode(byte[] document, long baseVersion, byte[] base) {
        return new EncodedDocument()
                .setBaseVersion(baseVersion)
                .setDelta(DocumentDelta.encode(base, document))
                .setSha256(Hashing.sha256().hashBytes(document).asBytes());
    }

    private long earlierBytes() {
        return documents.headMap(documents.lastKey()).values().stream()
                .mapToLong(document -> document.length)
                .sum();
    }
}

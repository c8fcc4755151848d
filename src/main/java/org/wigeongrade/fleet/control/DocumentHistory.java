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
 * memory; each difference is computed once. Thread safe.
 */
final class DocumentHistory {
    /** Version that stands for an empty document. */
    private static final long NO_VERSION = 0;
    /** Documents before the latest that are held; entry nodes are this many changes behind at most while they pull. */
    private static final int MAX_EARLIER = 12;
    /** Memory for the documents before the latest, in bytes; two of the largest that are accepted. */
    private static final long MAX_EARLIER_BYTES = 8L * 1024 * 1024;

    private final TreeMap<Long, byte[]> documents = new TreeMap<>();
    private final Map<Long, EncodedDocument> encodedByBase = new HashMap<>();

    /** Records the state after a change; called for each change, whether or not the configuration changed. */
    synchronized void record(PublishedState state) {
        if (state.version() == NO_VERSION || documents.containsKey(state.version())) {
            return;
        }
        state.document().ifPresent(document -> documents.put(state.version(), document));
        encodedByBase.clear();
        while (documents.size() > 1 && (documents.size() > MAX_EARLIER + 1 || earlierBytes() > MAX_EARLIER_BYTES)) {
            documents.pollFirstEntry();
        }
    }

    /**
     * Returns the document of the version as a difference from that of {@code baseVersion}, or as a whole if that one is
     * not held; empty if the version is not the latest one.
     */
    synchronized Optional<EncodedDocument> encode(long version, long baseVersion) {
        if (documents.isEmpty() || documents.lastKey() != version) {
            return Optional.empty();
        }
        final long heldBase = documents.containsKey(baseVersion) ? baseVersion : NO_VERSION;
        return Optional.of(encodedByBase.computeIfAbsent(heldBase, base -> encodeLatest(base)));
    }

    private EncodedDocument encodeLatest(long baseVersion) {
        final byte[] latest = documents.lastEntry().getValue();
        final byte[] base = documents.getOrDefault(baseVersion, new byte[0]);
        return new EncodedDocument()
                .setBaseVersion(baseVersion)
                .setDelta(DocumentDelta.encode(base, latest))
                .setSha256(Hashing.sha256().hashBytes(latest).asBytes());
    }

    private long earlierBytes() {
        return documents.headMap(documents.lastKey()).values().stream()
                .mapToLong(document -> document.length)
                .sum();
    }
}

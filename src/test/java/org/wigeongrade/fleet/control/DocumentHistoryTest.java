package org.wigeongrade.fleet.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.hash.Hashing;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.published.DocumentDelta;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.fleet.thrift.EncodedDocument;

/** Tests which documents a control node can send as differences. */
final class DocumentHistoryTest {
    private static final int MAX_BYTES = 4 * 1024 * 1024;

    private final Random random = new Random(1);
    private final PublishedStateMachine stateMachine = new PublishedStateMachine();
    private final DocumentHistory history = new DocumentHistory();
    private final ReplicatedPublishedState replicated = new ReplicatedPublishedState(stateMachine, history);

    /** Guards against a difference from a document that the entry node does not have. */
    @ParameterizedTest
    @CsvSource({
        // versions published, bytes of each, version asked for, version of the entry node, base of the difference
        "5, 1000, 5, 4, 4",
        "5, 1000, 5, 1, 1",
        "5, 1000, 5, 0, 0",
        "5, 1000, 5, 9, 0",
        "40, 1000, 40, 39, 39",
        "40, 1000, 40, 2, 0",
        "6, 700000, 6, 1, 1",
        "15, 700000, 15, 4, 4",
        "15, 700000, 15, 3, 0",
    })
    void differenceIsFromADocumentThatTheEntryNodeHas(
            long versions, int sizeBytes, long askedVersion, long knownVersion, long expectedBase) {
        final byte[][] documents = new byte[(int) versions + 1][];
        documents[0] = new byte[0];
        for (int version = 1; version <= versions; version++) {
            documents[version] = new byte[sizeBytes];
            random.nextBytes(documents[version]);
            publish(version, documents[version]);
        }
        final EncodedDocument encoded =
                history.encode(askedVersion, knownVersion).orElseThrow();
        assertThat(encoded.getBaseVersion()).isEqualTo(expectedBase);
        final byte[] decoded = DocumentDelta.decode(documents[(int) expectedBase], encoded.getDelta(), MAX_BYTES);
        assertThat(decoded).isEqualTo(documents[(int) askedVersion]);
        assertThat(encoded.getSha256())
                .isEqualTo(Hashing.sha256().hashBytes(decoded).asBytes());
    }

    /** Guards against a document that is sent under the version of another one. */
    @ParameterizedTest
    @CsvSource({"0, 0, false", "3, 4, false", "3, 2, true", "3, 3, true", "20, 3, false"})
    void onlyVersionsThatAreHeldAreEncoded(int versions, long askedVersion, boolean encoded) {
        for (int version = 1; version <= versions; version++) {
            publish(version, new byte[100]);
        }
        assertThat(history.encode(askedVersion, 0).isPresent()).isEqualTo(encoded);
    }

    /** Guards against a restored node that sends nothing, as the snapshot holds the only document that it knows. */
    @ParameterizedTest
    @CsvSource({"1", "7"})
    void documentOfASnapshotIsHeld(long version) {
        publish(version, new byte[100]);
        final DocumentHistory restored = new DocumentHistory();
        new ReplicatedPublishedState(new PublishedStateMachine(), restored).restore(replicated.snapshot());
        assertThat(restored.encode(version, 0).map(EncodedDocument::getBaseVersion))
                .isEqualTo(Optional.of(0L));
    }

    private void publish(long version, byte[] document) {
        final byte[] unused =
                replicated.apply(version, new PublishedCommand.Publish(version, Bytes.wrap(document)).encode());
    }
}

package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.hash.Hashing;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.published.DocumentDelta;
import org.wigeongrade.fleet.thrift.EncodedDocument;

/** Tests that an entry node puts only documents in force that are as they were published. */
final class KnownDocumentTest {
    private static final byte[] BASE = new byte[] {1, 2, 3};
    private static final byte[] DOCUMENT = new byte[] {1, 2, 4};

    /** Guards against a document in force that nobody published. */
    @ParameterizedTest
    @CsvSource({
        // version that the node has, version that was the base, whether the digest is that of the document, accepted
        "3, 3, true, true",
        "3, 0, true, true",
        "0, 0, true, true",
        "2, 3, true, false",
        "0, 3, true, false",
        "3, 3, false, false",
        "3, 0, false, false",
    })
    void documentIsAcceptedFromItsBaseAndWithItsDigest(long known, long base, boolean digestMatches, boolean accepted) {
        final KnownDocument document = known == 0 ? KnownDocument.NONE : new KnownDocument(known, Bytes.wrap(BASE));
        final EncodedDocument encoded = new EncodedDocument()
                .setBaseVersion(base)
                .setDelta(DocumentDelta.encode(base == 0 ? new byte[0] : BASE, DOCUMENT))
                .setSha256(Hashing.sha256()
                        .hashBytes(digestMatches ? DOCUMENT : BASE)
                        .asBytes());
        if (!accepted) {
            assertThrows(IllegalArgumentException.class, () -> document.decode(4, encoded));
            return;
        }
        assertThat(document.decode(4, encoded).document().array()).isEqualTo(DOCUMENT);
        assertThat(document.decode(4, encoded).version()).isEqualTo(4);
    }
}

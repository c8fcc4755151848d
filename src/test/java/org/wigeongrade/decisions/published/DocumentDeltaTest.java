package org.wigeongrade.decisions.published;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that documents survive encoding, and that what travels grows with the change and not with the document. */
final class DocumentDeltaTest {
    private static final int MAX_BYTES = 1_000_000;
    private static final byte[] NOTHING = {};
    /** The fleet at its target size. */
    private static final int ENTRY_NODES = 340;
    /** What a leader's link of 170 Mbit/s carries in half of the 2.5 s in which a change has to be in force. */
    private static final long MAX_BYTES_FOR_ALL = 170_000_000L / 8 * 2_500 / 1_000 / 2;

    private static final int MAX_ROUTE_BYTES = 100;
    private static final int OVERHEAD_BYTES = 500;

    /** Guards against a document that decodes to other bytes, whatever the two documents have in common. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void decodedDocumentEqualsTheEncodedOne(long seed) {
        final Random random = new Random(seed);
        List<String> routes = routes(random, random.nextInt(200));
        byte[] base = NOTHING;
        for (int version = 1; version < 40; version++) {
            routes = change(routes, random);
            final byte[] document = document(version, routes);
            final byte[] delta = DocumentDelta.encode(base, document);
            assertThat(DocumentDelta.decode(base, delta, MAX_BYTES)).isEqualTo(document);
            base = document;
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "}", "a", "}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}", "\n\n\n"})
    void anyBytesCanBeBaseOrDocument(String text) {
        final byte[] document = text.getBytes(StandardCharsets.UTF_8);
        final byte[] random = new byte[20_000];
        new Random(1).nextBytes(random);
        for (final byte[] other : List.of(NOTHING, document, random)) {
            assertThat(DocumentDelta.decode(other, DocumentDelta.encode(other, document), MAX_BYTES))
                    .isEqualTo(document);
            assertThat(DocumentDelta.decode(document, DocumentDelta.encode(document, other), MAX_BYTES))
                    .isEqualTo(other);
        }
    }

    /**
     * Guards against a leader whose link carries each document as a whole to each entry node: a change of one route
     * among thousands, and many routes that are added at once.
     */
    @ParameterizedTest
    @CsvSource({
        // routes before, routes changed, routes added
        "1680, 1, 0",
        "1680, 0, 1",
        "240, 0, 1440",
        "0, 0, 1680",
    })
    void allEntryNodesLearnAChangeInHalfOfItsTime(int before, int changed, int added) {
        final Random random = new Random(1);
        final List<String> routes = routes(random, before);
        final byte[] base = before == 0 ? NOTHING : document(1, routes);
        final List<String> next = new ArrayList<>(routes);
        IntStream.range(0, changed).forEach(index -> next.set(before / 2 + index, route(random)));
        next.addAll(routes(random, added));
        final byte[] document = document(2, next);
        final byte[] delta = DocumentDelta.encode(base, document);
        assertWithMessage("bytes for a document of %s", document.length)
                .that((long) delta.length * ENTRY_NODES)
                .isAtMost(MAX_BYTES_FOR_ALL);
        assertWithMessage("bytes for %s changed and %s added routes", changed, added)
                .that(delta.length)
                .isAtMost(OVERHEAD_BYTES + (changed + added) * MAX_ROUTE_BYTES);
    }

    /** Guards against a delta that is applied to another base, or that takes all memory when it is decoded. */
    @Test
    void malformedDeltaIsRefused() {
        final byte[] base = document(1, routes(new Random(1), 100));
        final byte[] document = document(2, routes(new Random(1), 120));
        final byte[] delta = DocumentDelta.encode(base, document);
        assertThrows(IllegalArgumentException.class, () -> DocumentDelta.decode(NOTHING, delta, MAX_BYTES));
        assertThrows(IllegalArgumentException.class, () -> DocumentDelta.decode(base, delta, document.length - 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> DocumentDelta.decode(base, Arrays.copyOf(delta, delta.length / 2), MAX_BYTES));
        assertThrows(IllegalArgumentException.class, () -> DocumentDelta.decode(base, document, MAX_BYTES));
    }

    private static List<String> change(List<String> routes, Random random) {
        final List<String> next = new ArrayList<>(routes);
        switch (random.nextInt(4)) {
            case 0 -> next.addAll(random.nextInt(next.size() + 1), routes(random, random.nextInt(50)));
            case 1 -> next.removeIf(route -> random.nextInt(10) == 0);
            case 2 -> Collections.shuffle(next, random);
            default -> next.replaceAll(route -> random.nextInt(10) == 0 ? route(random) : route);
        }
        return next;
    }

    private static List<String> routes(Random random, int count) {
        return IntStream.range(0, count).mapToObj(index -> route(random)).toList();
    }

    private static String route(Random random) {
        return """
                {"name":"r-%s","hostname":"zicu21.example","pathPrefix":"/%s/","kind":"idempotent","timeoutMs":%d,\
                "targetLatencyMs":120,"priority":2,"service":"nyye78b","maxAttempts":2,"anonymous":false,\
                "sessionAffinity":false}""".formatted(word(random), word(random), 1_000 + random.nextInt(5_000));
    }

    private static String word(Random random) {
        return Long.toString(random.nextLong(1L << 36), Character.MAX_RADIX);
    }

    private static byte[] document(long version, List<String> routes) {
        return """
                {"version":%d,"routes":[%s],"services":[{"name":"nyye78b","maxConnections":49}]}""".formatted(version, String.join(",", routes)).getBytes(StandardCharsets.UTF_8);
    }
}

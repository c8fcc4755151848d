package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Pattern: many endpoints send large bodies at once, some of them without end, beside small sound ones. */
final class BufferedBodiesTest {
    private static final int MAX_BYTES = 4 * 1024 * 1024;
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int PART_BYTES = 16 * 1024;
    private static final int SOUND_BODY_BYTES = 512 * 1024;

    private final BufferedBodies bodies = new BufferedBodies(MAX_BYTES, MAX_BODY_BYTES);

    /** An endpoint whose bytes arrive while they are read; a sound one ends its body. */
    private final class Endpoint implements BufferedBody.Source {
        private final boolean endless;
        private final BufferedBody body = bodies.open(this);
        private boolean reading = true;
        private boolean gaveUp;

        Endpoint(boolean endless) {
            this.endless = endless;
        }

        void sendPart() {
            if (reading && !gaveUp && !body.isComplete()) {
                body.append(new byte[PART_BYTES]);
                if (!endless && !gaveUp && body.sizeBytes() >= SOUND_BODY_BYTES) {
                    body.markComplete();
                    body.release();
                }
            }
        }

        @Override
        public void setReading(boolean enabled) {
            reading = enabled;
        }

        @Override
        public void giveUp(String cause) {
            gaveUp = true;
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 50})
    void soundBodiesCompleteBesideEndlessOnesWithinTheLimit(int endlessCount) {
        final List<Endpoint> endpoints = new ArrayList<>();
        IntStream.range(0, endlessCount).forEach(unused -> endpoints.add(new Endpoint(true)));
        IntStream.range(0, 20).forEach(unused -> endpoints.add(new Endpoint(false)));
        final int rounds = (endlessCount + 1) * MAX_BODY_BYTES / PART_BYTES + 20 * SOUND_BODY_BYTES / PART_BYTES;
        for (int round = 0; round < rounds; round++) {
            endpoints.forEach(Endpoint::sendPart);

            assertThat(bodies.totalBytes()).isAtMost(MAX_BYTES);
        }

        for (final Endpoint endpoint : endpoints) {
            assertThat(endpoint.gaveUp).isEqualTo(endpoint.endless);
            assertThat(endpoint.body.isComplete()).isEqualTo(!endpoint.endless);
        }
        assertThat(bodies.totalBytes()).isEqualTo(0);
    }

    @Test
    void smallBodiesAreReadOnWhileMemoryIsScarce() {
        final List<Endpoint> large =
                IntStream.range(0, 8).mapToObj(unused -> new Endpoint(true)).toList();
        while (bodies.totalBytes() <= MAX_BYTES / 2) {
            large.forEach(Endpoint::sendPart);
        }
        final Endpoint small = new Endpoint(false);
        small.sendPart();

        assertThat(small.reading).isTrue();
        assertThat(large.stream().filter(endpoint -> endpoint.reading).count()).isEqualTo(1);
    }

    /** A long response in tiny chunks used up the heap, since each chunk took many times its bytes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 11, 3_000, 5_000, 10_000})
    void bodyInSmallPiecesIsHeldInFewParts(int pieceBytes) {
        final BufferedBody body = bodies.open(new Endpoint(true));
        int appendedBytes = 0;
        while (appendedBytes + pieceBytes <= MAX_BODY_BYTES) {
            final byte[] piece = new byte[pieceBytes];
            for (int i = 0; i < pieceBytes; i++) {
                piece[i] = (byte) ((appendedBytes + i) % 251);
            }
            body.append(piece);
            appendedBytes += pieceBytes;
        }
        body.markComplete();

        final ByteBuf buffer = body.toBuffer();
        assertThat(buffer.readableBytes()).isEqualTo(appendedBytes);
        assertThat(IntStream.range(0, appendedBytes).allMatch(i -> buffer.getByte(i) == (byte) (i % 251)))
                .isTrue();
        assertThat(buffer.nioBufferCount()).isAtMost(MAX_BODY_BYTES / 4_096);
    }
}

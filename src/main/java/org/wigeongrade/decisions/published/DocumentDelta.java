package org.wigeongrade.decisions.published;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Encodes a document as its difference from an earlier one, compressed. Operations copy a range of the base or insert
 * bytes; the base may be empty, so that the whole document is inserted.
 *
 * <p>Invariant: decoding an encoded document with the same base returns the document. Stateless.
 */
public final class DocumentDelta {
    /** Byte that ends the operations. */
    private static final byte END = 0;

    /** Shortest range that is copied, in bytes; a copy operation takes nine. */
    private static final int MIN_CHUNK_BYTES = 24;
    /** Longest range that is compared as one, in bytes, for documents without the usual ends of ranges. */
    private static final int MAX_CHUNK_BYTES = 4_096;

    /** What is appended to the document next. */
    private enum Operation {
        /** A range of the base. */
        COPY(1) {
            @Override
            void apply(byte[] base, DataInputStream in, ByteArrayOutputStream target, int maxBytes) throws IOException {
                final int offset = in.readInt();
                final int length = readLength(in, target, maxBytes);
                if (offset < 0 || offset > base.length - length) {
                    throw new IllegalArgumentException("the encoded document refers to byte " + offset
                            + " of a base that has " + base.length + " bytes");
                }
                target.write(base, offset, length);
            }
        },
        /** Bytes that follow. */
        INSERT(2) {
            @Override
            void apply(byte[] base, DataInputStream in, ByteArrayOutputStream target, int maxBytes) throws IOException {
                final byte[] inserted = new byte[readLength(in, target, maxBytes)];
                ByteStreams.readFully(in, inserted);
                target.write(inserted, 0, inserted.length);
            }
        };

        private final byte code;

        Operation(int code) {
            this.code = (byte) code;
        }

        abstract void apply(byte[] base, DataInputStream in, ByteArrayOutputStream target, int maxBytes)
                throws IOException;

        static Operation of(byte code) {
            return Arrays.stream(values())
                    .filter(operation -> operation.code == code)
                    .findFirst()
                    .orElseThrow(() ->
                            new IllegalArgumentException("the encoded document has an unknown operation " + code));
        }

        private static int readLength(DataInputStream in, ByteArrayOutputStream target, int maxBytes)
                throws IOException {
            final int length = in.readInt();
            if (length < 0 || length > maxBytes - target.size()) {
                throw new IllegalArgumentException("the encoded document is larger than " + maxBytes + " bytes");
            }
            return length;
        }
    }

    private DocumentDelta() {}

    /** Returns the encoded difference. */
    public static byte[] encode(byte[] base, byte[] target) {
        final ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(new DeflaterOutputStream(encoded))) {
            new Encoder(base, target, out).run();
        } catch (IOException e) {
            throw new UncheckedIOException("a document cannot be compressed in memory", e);
        }
        return encoded.toByteArray();
    }

    /**
     * Returns the document that was encoded with the base.
     *
     * @param maxBytes largest document to accept, in bytes
     * @throws IllegalArgumentException if the encoded bytes are malformed, do not fit the base or exceed the limit
     */
    public static byte[] decode(byte[] base, byte[] encoded, int maxBytes) {
        final ByteArrayOutputStream target = new ByteArrayOutputStream();
        try (DataInputStream in = new DataInputStream(new InflaterInputStream(new ByteArrayInputStream(encoded)))) {
            for (byte code = in.readByte(); code != END; code = in.readByte()) {
                Operation.of(code).apply(base, in, target, maxBytes);
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("the encoded document cannot be read: " + e.getMessage(), e);
        }
        return target.toByteArray();
    }

    /** Returns the end of the chunk that begins at {@code start}: after an object or a line, so that equal ones match. */
    private static int chunkEnd(byte[] bytes, int start) {
        final int limit = Math.min(bytes.length, start + MAX_CHUNK_BYTES);
        for (int end = Math.min(limit, start + MIN_CHUNK_BYTES); end < limit; end++) {
            final byte last = bytes[end - 1];
            if (last == '}' || last == '\n') {
                return end;
            }
        }
        return limit;
    }

    /** Joins adjacent ranges into one operation. Not thread safe. */
    private static final class Encoder {
        private final byte[] base;
        private final byte[] target;
        private final DataOutputStream out;
        private final Map<ByteBuffer, Integer> baseChunks = new HashMap<>();
        private int copyOffset;
        private int copyLength;
        private int insertStart;

        Encoder(byte[] base, byte[] target, DataOutputStream out) {
            this.base = base;
            this.target = target;
            this.out = out;
        }

        void run() throws IOException {
            for (int start = 0; start < base.length; start = chunkEnd(base, start)) {
                baseChunks.putIfAbsent(chunk(base, start), start);
            }
            for (int start = 0; start < target.length; start = chunkEnd(target, start)) {
                final int length = chunkEnd(target, start) - start;
                final int offset = baseChunks.getOrDefault(chunk(target, start), -1);
                final boolean continuesCopy = copyLength > 0 && offset == copyOffset + copyLength;
                if (offset < 0) {
                    flushCopy(start);
                } else if (continuesCopy) {
                    copyLength += length;
                } else {
                    flushCopy(start);
                    flushInsert(start);
                    copyOffset = offset;
                    copyLength = length;
                }
            }
            flushCopy(target.length);
            flushInsert(target.length);
            out.writeByte(END);
        }

        private static ByteBuffer chunk(byte[] bytes, int start) {
            return ByteBuffer.wrap(bytes, start, chunkEnd(bytes, start) - start);
        }

        /** Writes the pending copy, if any; what follows it is inserted from {@code end} on. */
        private void flushCopy(int end) throws IOException {
            if (copyLength > 0) {
                out.writeByte(Operation.COPY.code);
                out.writeInt(copyOffset);
                out.writeInt(copyLength);
                copyLength = 0;
                insertStart = end;
            }
        }

        private void flushInsert(int end) throws IOException {
            if (end > insertStart) {
                out.writeByte(Operation.INSERT.code);
                out.writeInt(end - insertStart);
                out.write(target, insertStart, end - insertStart);
            }
            insertStart = end;
        }
    }
}

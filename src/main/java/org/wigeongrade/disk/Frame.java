package org.wigeongrade.disk;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * One synced batch in the log file: magic number, content length, sequence number, CRC32C of length, sequence number and
 * content, content.
 *
 * <p>Invariant: a batch is one frame, so a crash leaves at most the last frame torn. Stateless.
 */
final class Frame {
    static final int MAGIC = 0x57474c46;
    static final int HEAD_BYTES = 4 + 4 + 8 + 4;

    private Frame() {}

    static ByteBuffer encode(long sequence, byte[] content) {
        ByteBuffer frame = ByteBuffer.allocate(HEAD_BYTES + content.length);
        frame.putInt(MAGIC).putInt(content.length).putLong(sequence);
        frame.putInt(crc(content.length, sequence, content)).put(content);
        return frame.flip();
    }

    /** Returns the content of a whole, undamaged frame at an offset. */
    static Optional<byte[]> read(ByteBuffer file, int offset, long sequence) {
        return read(file, offset).filter(found -> found.sequence() == sequence).map(Found::content);
    }

    /** Returns whether any whole, undamaged frame starts at an offset or after. */
    static boolean anyFrom(ByteBuffer file, int offset) {
        for (int at = offset; at <= file.limit() - HEAD_BYTES; at++) {
            if (file.getInt(at) == MAGIC && read(file, at).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static Optional<Found> read(ByteBuffer file, int offset) {
        if (file.limit() - offset < HEAD_BYTES || file.getInt(offset) != MAGIC) {
            return Optional.empty();
        }
        int length = file.getInt(offset + 4);
        if (length < 0 || length > file.limit() - offset - HEAD_BYTES) {
            return Optional.empty();
        }
        long sequence = file.getLong(offset + 8);
        byte[] content = new byte[length];
        file.get(offset + HEAD_BYTES, content);
        boolean whole = crc(length, sequence, content) == file.getInt(offset + 16);
        return whole ? Optional.of(new Found(sequence, content)) : Optional.empty();
    }

    private static int crc(int length, long sequence, byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(12).putInt(length).putLong(sequence).flip());
        crc.update(content);
        return (int) crc.getValue();
    }

    @SuppressWarnings("ArrayRecordComponent") // never compared
    private record Found(long sequence, byte[] content) {}
}

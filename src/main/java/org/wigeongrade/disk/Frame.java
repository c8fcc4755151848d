package org.wigeongrade.disk;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The encoding of one synced batch in the log file: magic number, content length, sequence number, CRC32C (of length,
 * sequence number and content), and the content.
 *
 * <p>Invariant: each batch is one frame, so a crash leaves at most the last frame torn. Stateless.
 */
final class Frame {
    static final int MAGIC = 0x57474c46;
    static final int HEADER_BYTES = 4 + 4 + 8 + 4;

    private Frame() {}

    static ByteBuffer encode(long sequence, byte[] content) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + content.length);
        frame.putInt(MAGIC).putInt(content.length).putLong(sequence);
        frame.putInt(crc(content.length, sequence, content)).put(content);
        return frame.flip();
    }

    /**
     * Returns the content of the frame at the offset, or empty if there is no complete, undamaged frame with that
     * sequence number.
     */
    static Optional<byte[]> read(ByteBuffer file, int offset, long sequence) {
        return read(file, offset).filter(frame -> frame.sequence() == sequence).map(DecodedFrame::content);
    }

    /** Returns whether a complete, undamaged frame starts at or after the offset. */
    static boolean existsAtOrAfter(ByteBuffer file, int offset) {
        for (int candidate = offset; candidate <= file.limit() - HEADER_BYTES; candidate++) {
            if (file.getInt(candidate) == MAGIC && read(file, candidate).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static Optional<DecodedFrame> read(ByteBuffer file, int offset) {
        if (file.limit() - offset < HEADER_BYTES || file.getInt(offset) != MAGIC) {
            return Optional.empty();
        }
        int length = file.getInt(offset + 4);
        if (length < 0 || length > file.limit() - offset - HEADER_BYTES) {
            return Optional.empty();
        }
        long sequence = file.getLong(offset + 8);
        byte[] content = new byte[length];
        file.get(offset + HEADER_BYTES, content);
        boolean checksumMatches = crc(length, sequence, content) == file.getInt(offset + 16);
        return checksumMatches ? Optional.of(new DecodedFrame(sequence, content)) : Optional.empty();
    }

    private static int crc(int length, long sequence, byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(12).putInt(length).putLong(sequence).flip());
        crc.update(content);
        return (int) crc.getValue();
    }

    @SuppressWarnings("ArrayRecordComponent") // never compared
    private record DecodedFrame(long sequence, byte[] content) {}
}

package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * A small file that is always replaced as a whole. It consists of a magic number, the CRC32C of the content, and the
 * content.
 *
 * <p>Invariant: after a crash the file holds either the old or the new content. Not thread safe.
 */
final class AtomicFile {
    private static final int HEADER_BYTES = 8;

    private final Path path;
    private final int magic;
    private final FileOperations files;

    AtomicFile(Path path, int magic, FileOperations files) {
        this.path = path;
        this.magic = magic;
        this.files = files;
    }

    /** Replaces the content. Returns once the new content is durable. */
    void replace(byte[] content) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(magic).putInt(crc(content)).flip();
        Path temporaryPath = path.resolveSibling(path.getFileName() + ".new");
        try (FileChannel channel = files.create(temporaryPath)) {
            files.write(channel, header);
            files.write(channel, ByteBuffer.wrap(content));
            files.sync(channel);
        }
        files.rename(temporaryPath, path);
        files.syncFolder(path.toAbsolutePath().getParent());
    }

    /**
     * Returns the content, or empty if the file does not exist; throws {@link DataLossException} if the file is
     * damaged.
     */
    Optional<byte[]> read() throws IOException {
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(Files.readAllBytes(path));
        if (buffer.remaining() < HEADER_BYTES || buffer.getInt() != magic) {
            throw new DataLossException(path + " is too short or has the wrong magic number");
        }
        int expectedCrc = buffer.getInt();
        byte[] content = new byte[buffer.remaining()];
        buffer.get(content);
        if (crc(content) != expectedCrc) {
            throw new DataLossException(path + " is damaged: its checksum does not match");
        }
        return Optional.of(content);
    }

    private static int crc(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return (int) crc.getValue();
    }
}

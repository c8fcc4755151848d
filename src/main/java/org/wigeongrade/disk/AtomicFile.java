package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * A small file that is replaced as a whole: magic number, CRC32C of the content, content.
 *
 * <p>Invariant: after a crash it holds the old or the new content. Not thread safe.
 */
final class AtomicFile {
    private static final int HEAD_BYTES = 8;

    private final Path path;
    private final int magic;
    private final FileOperations files;

    AtomicFile(Path path, int magic, FileOperations files) {
        this.path = path;
        this.magic = magic;
        this.files = files;
    }

    /** Replaces the content and returns once it is durable. */
    void replace(byte[] content) throws IOException {
        ByteBuffer head = ByteBuffer.allocate(HEAD_BYTES);
        head.putInt(magic).putInt(crc(content)).flip();
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        try (FileChannel channel = files.create(temporary)) {
            files.write(channel, head);
            files.write(channel, ByteBuffer.wrap(content));
            files.sync(channel);
        }
        files.rename(temporary, path);
        files.syncFolder(path.toAbsolutePath().getParent());
    }

    /** Reads the content, empty if there is no file; throws {@link DiskLostException} if it is damaged. */
    Optional<byte[]> read() throws IOException {
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        ByteBuffer whole = ByteBuffer.wrap(Files.readAllBytes(path));
        if (whole.remaining() < HEAD_BYTES || whole.getInt() != magic) {
            throw new DiskLostException(path + " is not a file of this kind");
        }
        int expected = whole.getInt();
        byte[] content = new byte[whole.remaining()];
        whole.get(content);
        if (crc(content) != expected) {
            throw new DiskLostException(path + " is damaged");
        }
        return Optional.of(content);
    }

    private static int crc(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return (int) crc.getValue();
    }
}

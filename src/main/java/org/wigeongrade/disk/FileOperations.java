package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * The file system calls whose failure matters. The default methods go to the system; tests override single ones. Thread
 * safe.
 */
public interface FileOperations {
    /** The system's own calls. */
    FileOperations SYSTEM = new FileOperations() {};

    /** Creates a file or empties it, and opens it for writing. */
    default FileChannel create(Path path) throws IOException {
        return FileChannel.open(
                path, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
    }

    /** Writes all the bytes. */
    default void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Returns once everything written to the file is durable. */
    default void sync(FileChannel channel) throws IOException {
        channel.force(false);
    }

    /** Renames a file over another one. */
    default void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns once the names in a folder are durable. */
    default void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}

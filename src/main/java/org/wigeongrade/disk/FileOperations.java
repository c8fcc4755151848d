package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * The file system calls whose failures must be handled. The default methods call the operating system; tests override
 * some of them to inject failures. Thread safe.
 */
public interface FileOperations {
    /** Calls the operating system. */
    FileOperations SYSTEM = new FileOperations() {};

    /** Creates a file, or truncates an existing one, and opens it for writing. */
    default FileChannel create(Path path) throws IOException {
        return FileChannel.open(
                path, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
    }

    /** Writes all remaining bytes of the buffer. */
    default void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Returns once everything written to the file is durable. */
    default void sync(FileChannel channel) throws IOException {
        channel.force(false);
    }

    /** Atomically renames a file and replaces the target if it exists. */
    default void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns once the folder's directory entries are durable. */
    default void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}

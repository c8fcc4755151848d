package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * An exclusive lock of one process on a data folder. Invariant: at most one lock is open for each folder. Not thread
 * safe.
 */
final class FolderLock implements AutoCloseable {
    private static final String FILE_NAME = "lock";

    private final FileChannel channel;

    private FolderLock(FileChannel channel) {
        this.channel = channel;
    }

    /** Acquires the lock; fails with DISK_FAILED if another process holds it. */
    static FolderLock acquire(Path folder) {
        Path path = folder.resolve(FILE_NAME);
        try {
            FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (!tryLock(channel)) {
                channel.close();
                throw new WigeongradeException(
                        ErrorKind.DISK_FAILED,
                        "data folder " + folder + " is in use by another process; stop that process");
            }
            return new FolderLock(channel);
        } catch (IOException e) {
            throw DiskFailures.toException(path, e);
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw DiskFailures.toException(Path.of(FILE_NAME), e);
        }
    }
}

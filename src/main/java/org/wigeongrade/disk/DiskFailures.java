package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/** Converts failed file system calls into exceptions whose message states the remedy. Stateless. */
final class DiskFailures {
    private DiskFailures() {}

    /** Returns the exception for a failed call on a file of the data folder. */
    static WigeongradeException toException(Path path, IOException cause) {
        String remedy = isFull(cause)
                ? "the disk is full: free space on it, then start this VM again"
                : "check the disk, then start this VM again; it rereads its files at startup";
        return new WigeongradeException(
                ErrorKind.DISK_FAILED, path + " failed: " + cause.getMessage() + "; " + remedy, cause);
    }

    /** Returns whether the call failed because no space is left; it may succeed once space has been freed. */
    static boolean isFull(IOException cause) {
        String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
        return message.contains("no space left")
                || message.contains("quota exceeded")
                || message.contains("file too large");
    }
}

package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/** Turns failed file system calls into errors that tell the reader the fix. Stateless. */
final class DiskFailures {
    private DiskFailures() {}

    /** Returns the error for a failed call on a file of the data folder. */
    static WigeongradeException failed(Path path, IOException cause) {
        String fix = isFull(cause)
                ? "the disk is full: free space on it, then start this VM again"
                : "check the disk, then start this VM again; its files are read afresh then";
        return new WigeongradeException(
                ErrorKind.DISK_FAILED, path + " failed: " + cause.getMessage() + "; " + fix, cause);
    }

    private static boolean isFull(IOException cause) {
        String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
        return message.contains("no space left") || message.contains("quota exceeded");
    }
}

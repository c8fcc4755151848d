package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Optional;

/** System calls of which one can be made to fail. Thread safe. */
public final class FaultyFiles implements FileOperations {
    /** Which call fails. */
    public enum Call {
        WRITE,
        SYNC,
        RENAME_STATE,
        RENAME_LOG
    }

    private volatile Optional<Call> failing = Optional.empty();
    private volatile String message = "Input/output error";

    /** Makes every later call of this kind fail. */
    public void fail(Call call, String failureMessage) {
        message = failureMessage;
        failing = Optional.of(call);
    }

    public void mend() {
        failing = Optional.empty();
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        check(Call.WRITE);
        FileOperations.super.write(channel, bytes);
    }

    @Override
    public void sync(FileChannel channel) throws IOException {
        check(Call.SYNC);
        FileOperations.super.sync(channel);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        check(to.endsWith("log") ? Call.RENAME_LOG : Call.RENAME_STATE);
        FileOperations.super.rename(from, to);
    }

    private void check(Call call) throws IOException {
        if (failing.equals(Optional.of(call))) {
            throw new IOException(message);
        }
    }
}

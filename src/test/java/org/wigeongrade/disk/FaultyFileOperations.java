package org.wigeongrade.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Optional;

/** File operations of which one kind at a time can be made to fail. Thread safe. */
public final class FaultyFileOperations implements FileOperations {
    /** The kinds of calls that can fail. */
    public enum Call {
        WRITE,
        /** Writes half of the bytes before it fails. */
        PARTIAL_WRITE,
        SYNC,
        RENAME_STATE,
        RENAME_LOG
    }

    private volatile Optional<Call> failingCall = Optional.empty();
    private volatile String message = "Input/output error";

    /** Makes every later call of this kind fail. */
    public void failEvery(Call call, String failureMessage) {
        message = failureMessage;
        failingCall = Optional.of(call);
    }

    public void stopFailing() {
        failingCall = Optional.empty();
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        throwIfFailing(Call.WRITE);
        if (failingCall.equals(Optional.of(Call.PARTIAL_WRITE))) {
            FileOperations.super.write(channel, bytes.duplicate().limit(bytes.position() + bytes.remaining() / 2));
            throwIfFailing(Call.PARTIAL_WRITE);
        }
        FileOperations.super.write(channel, bytes);
    }

    @Override
    public void sync(FileChannel channel) throws IOException {
        throwIfFailing(Call.SYNC);
        FileOperations.super.sync(channel);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        throwIfFailing(to.endsWith("log") ? Call.RENAME_LOG : Call.RENAME_STATE);
        FileOperations.super.rename(from, to);
    }

    private void throwIfFailing(Call call) throws IOException {
        if (failingCall.equals(Optional.of(call))) {
            throw new IOException(message);
        }
    }
}

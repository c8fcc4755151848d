package org.wigeongrade.standin;

import com.google.common.primitives.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Record of what a stand-in did, as JSON lines. The latest {@value #MAX_LINES_IN_MEMORY} lines are kept in memory, all
 * lines in the file if there is one.
 *
 * <p>Invariant: an entry is in the file before {@link #add} returns, so it survives a kill of the process. Safe for use
 * from any thread.
 */
public final class Journal implements AutoCloseable {
    private static final int MAX_LINES_IN_MEMORY = 50_000;

    private final Deque<String> lines = new ArrayDeque<>();
    private final Optional<FileChannel> file;

    private Journal(Optional<FileChannel> file) {
        this.file = file;
    }

    /** Returns a journal that is kept in memory only. */
    public static Journal inMemory() {
        return new Journal(Optional.empty());
    }

    /** Returns a journal that appends to {@code path}; throws {@link UncheckedIOException} if it cannot be opened. */
    public static Journal appendingTo(Path path) {
        try {
            return new Journal(
                    Optional.of(FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND)));
        } catch (IOException e) {
            throw new UncheckedIOException("journal " + path + " cannot be opened; specify a writable file", e);
        }
    }

    /**
     * Reads the complete lines of a journal file, which may be written meanwhile. Skips what follows the last line
     * break: the beginning of a record that is being written, or that a killed process left.
     */
    public static List<JournalEntry> read(Path path) {
        try {
            // Not line by line: a line reader returns the rest of a record that grew after the end of the file was
            // reached as a line of its own.
            final byte[] bytes = Files.readAllBytes(path);
            final int end = Bytes.lastIndexOf(bytes, (byte) '\n') + 1;
            return new String(bytes, 0, end, StandardCharsets.UTF_8)
                    .lines()
                    .map(Journal::parse)
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException("journal " + path + " cannot be read", e);
        }
    }

    private static JournalEntry parse(String line) {
        try {
            return StandinJson.MAPPER.readValue(line, JournalEntry.class);
        } catch (IOException e) {
            throw new UncheckedIOException("journal line '" + line + "' cannot be parsed", e);
        }
    }

    /** Appends one entry. */
    public synchronized void add(JournalEntry entry) {
        String line = StandinJson.write(entry);
        file.ifPresent(channel -> append(channel, line));
        lines.addLast(line);
        if (lines.size() > MAX_LINES_IN_MEMORY) {
            lines.removeFirst();
        }
    }

    private static void append(FileChannel channel, String line) {
        ByteBuffer bytes = ByteBuffer.wrap((line + '\n').getBytes(StandardCharsets.UTF_8));
        try {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("journal cannot be written", e);
        }
    }

    /** Returns the lines in memory, one entry each, oldest first. */
    public synchronized String toJsonLines() {
        return lines.isEmpty() ? "" : String.join("\n", lines) + '\n';
    }

    @Override
    public void close() {
        file.ifPresent(Journal::closeQuietly);
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException("journal cannot be closed", e);
        }
    }
}

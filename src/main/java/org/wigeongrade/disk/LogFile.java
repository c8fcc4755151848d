package org.wigeongrade.disk;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.Position;

/**
 * The log file: a head frame with the folder's incarnation, the base position and the entries at the last rewrite, then one frame for each synced batch.
 *
 * <p>Invariants: an entry drops everything before it in the file with its index or a larger one; a torn last frame is
 * not part of the log. Not thread safe.
 */
final class LogFile implements AutoCloseable {
    /** What the file holds. */
    record Content(long incarnation, Position base, ImmutableList<LogEntry> entries) {}

    private final Path path;
    private final FileOperations files;
    private Optional<FileChannel> channel = Optional.empty();
    private long nextSequence;

    LogFile(Path path, FileOperations files) {
        this.path = path;
        this.files = files;
    }

    /** Reads the file, empty if there is none; throws {@link DiskLostException} if it is damaged before its tail. */
    Optional<Content> read() throws IOException {
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(path));
        byte[] head = Frame.read(file, 0, 0)
                .orElseThrow(() -> new DiskLostException(path + " is damaged in its first record"));
        RecordCodec.LogHead decoded = RecordCodec.decodeLogHead(head);
        List<LogEntry> entries = new ArrayList<>();
        addAll(entries, decoded.entries(), decoded.base());
        readBatches(file, Frame.HEAD_BYTES + head.length, entries, decoded.base());
        return Optional.of(new Content(decoded.incarnation(), decoded.base(), ImmutableList.copyOf(entries)));
    }

    private void readBatches(ByteBuffer file, int firstOffset, List<LogEntry> entries, Position base) {
        int offset = firstOffset;
        long sequence = 1;
        while (offset < file.limit()) {
            Optional<byte[]> content = Frame.read(file, offset, sequence);
            if (content.isEmpty()) {
                requireTornTail(file, offset);
                break;
            }
            addAll(entries, RecordCodec.decodeEntries(content.get()), base);
            offset += Frame.HEAD_BYTES + content.get().length;
            sequence++;
        }
    }

    private void requireTornTail(ByteBuffer file, int offset) {
        if (Frame.anyFrom(file, offset)) {
            throw new DiskLostException(path + " is damaged at byte " + offset + ", before its last record");
        }
    }

    private void addAll(List<LogEntry> entries, List<LogEntry> batch, Position base) {
        for (LogEntry entry : batch) {
            long kept = entry.index() - base.index() - 1;
            if (kept < 0 || kept > entries.size()) {
                throw new DiskLostException(path + " has a gap before entry " + entry.index());
            }
            entries.subList((int) kept, entries.size()).clear();
            Position previous =
                    entries.isEmpty() ? base : entries.get(entries.size() - 1).position();
            if (!LogEntry.after(previous, entry.term(), entry.kind(), entry.payload())
                    .equals(entry)) {
                throw new DiskLostException(path + " breaks its digest chain at entry " + entry.index());
            }
            entries.add(entry);
        }
    }

    /** Replaces the file by one with this content and opens it for appends; durable on return. */
    void rewrite(Content content) throws IOException {
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        FileChannel next = files.create(temporary);
        try {
            byte[] head = RecordCodec.encodeLogHead(
                    new RecordCodec.LogHead(content.incarnation(), content.base(), content.entries()));
            files.write(next, Frame.encode(0, head));
            nextSequence = 1;
            files.sync(next);
            files.rename(temporary, path);
            files.syncFolder(path.toAbsolutePath().getParent());
        } catch (IOException e) {
            next.close();
            throw e;
        }
        close();
        channel = Optional.of(next);
    }

    /** Appends the entries as one frame; durable on return. */
    void append(List<LogEntry> entries) throws IOException {
        FileChannel open = channel.orElseThrow();
        files.write(open, Frame.encode(nextSequence, RecordCodec.encodeEntries(entries)));
        files.sync(open);
        nextSequence++;
    }

    /** Appends an empty frame, after which damage to the entries before it cannot pass as a torn tail. */
    void mark() throws IOException {
        append(ImmutableList.of());
    }

    long sizeBytes() throws IOException {
        return Files.size(path);
    }

    @Override
    public void close() throws IOException {
        if (channel.isPresent()) {
            channel.get().close();
            channel = Optional.empty();
        }
    }
}

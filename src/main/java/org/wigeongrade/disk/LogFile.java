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
 * The log file. It starts with a header frame, which holds the folder's incarnation, the base position and the entries
 * at the last rewrite; one frame for each batch synced since then follows.
 *
 * <p>Invariants: an entry replaces all entries before it in the file that have the same or a larger index; a torn last
 * frame is not part of the log; what a failed append wrote is removed when the append is repeated. Not thread safe.
 */
final class LogFile implements AutoCloseable {
    /** The decoded content of the file. */
    record Content(long incarnation, Position base, ImmutableList<LogEntry> entries) {}

    private final Path path;
    private final FileOperations files;
    private Optional<FileChannel> channel = Optional.empty();
    private long nextSequence;
    private long durableBytes;

    LogFile(Path path, FileOperations files) {
        this.path = path;
        this.files = files;
    }

    /**
     * Reads the file; returns empty if it does not exist. Throws {@link DataLossException} if it is damaged before its
     * last frame.
     */
    Optional<Content> read() throws IOException {
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(path));
        byte[] encodedHeader = Frame.read(file, 0, 0)
                .orElseThrow(() -> new DataLossException(path + " is damaged in its header frame"));
        RecordCodec.LogHeader header = RecordCodec.decodeLogHeader(encodedHeader);
        List<LogEntry> entries = new ArrayList<>();
        applyBatch(entries, header.entries(), header.base());
        readBatches(file, Frame.HEADER_BYTES + encodedHeader.length, entries, header.base());
        return Optional.of(new Content(header.incarnation(), header.base(), ImmutableList.copyOf(entries)));
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
            applyBatch(entries, RecordCodec.decodeEntries(content.get()), base);
            offset += Frame.HEADER_BYTES + content.get().length;
            sequence++;
        }
    }

    private void requireTornTail(ByteBuffer file, int offset) {
        if (Frame.existsAtOrAfter(file, offset)) {
            throw new DataLossException(path + " is damaged at byte " + offset + ", before its last frame");
        }
    }

    private void applyBatch(List<LogEntry> entries, List<LogEntry> batch, Position base) {
        for (LogEntry entry : batch) {
            long keptCount = entry.index() - base.index() - 1;
            if (keptCount < 0 || keptCount > entries.size()) {
                throw new DataLossException(path + " has a gap before entry " + entry.index());
            }
            entries.subList((int) keptCount, entries.size()).clear();
            Position previous =
                    entries.isEmpty() ? base : entries.get(entries.size() - 1).position();
            if (!LogEntry.after(previous, entry.term(), entry.kind(), entry.payload())
                    .equals(entry)) {
                throw new DataLossException(path + " has a wrong digest at entry " + entry.index());
            }
            entries.add(entry);
        }
    }

    /**
     * Replaces the file with one that has this content, and opens it for appending. The content is durable on return.
     */
    void rewrite(Content content) throws IOException {
        Path temporaryPath = path.resolveSibling(path.getFileName() + ".new");
        FileChannel newChannel = files.create(temporaryPath);
        try {
            byte[] encodedHeader = RecordCodec.encodeLogHeader(
                    new RecordCodec.LogHeader(content.incarnation(), content.base(), content.entries()));
            files.write(newChannel, Frame.encode(0, encodedHeader));
            nextSequence = 1;
            files.sync(newChannel);
            files.rename(temporaryPath, path);
            files.syncFolder(path.toAbsolutePath().getParent());
        } catch (IOException e) {
            newChannel.close();
            throw e;
        }
        close();
        channel = Optional.of(newChannel);
        durableBytes = newChannel.position();
    }

    /** Appends the entries as one frame. They are durable on return. */
    void append(List<LogEntry> entries) throws IOException {
        FileChannel openChannel = channel.orElseThrow();
        if (openChannel.position() != durableBytes) {
            openChannel.truncate(durableBytes).position(durableBytes);
        }
        files.write(openChannel, Frame.encode(nextSequence, RecordCodec.encodeEntries(entries)));
        files.sync(openChannel);
        nextSequence++;
        durableBytes = openChannel.position();
    }

    /**
     * Appends an empty frame. Damage to the entries before it is then detected as data loss, and not taken for a torn
     * last frame.
     */
    void sealLastBatch() throws IOException {
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

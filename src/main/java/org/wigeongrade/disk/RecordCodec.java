package org.wigeongrade.disk;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.log.Digest;
import org.wigeongrade.decisions.log.EntryKind;
import org.wigeongrade.decisions.log.HardState;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.Membership;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.decisions.log.Snapshot;
import org.wigeongrade.ids.NodeName;

/**
 * Encodes and decodes the contents of the files. Every decode method throws {@link DataLossException} on malformed
 * bytes. Stateless.
 */
final class RecordCodec {
    /** The identity of the folder, and the term and vote. */
    record FolderState(long incarnation, boolean mayBootstrap, HardState hardState) {}

    /** A snapshot and the incarnation of the folder that it was written in. */
    record StoredSnapshot(long incarnation, Snapshot snapshot) {}

    /** The content of the header frame of a log file. */
    record LogHeader(long incarnation, Position base, ImmutableList<LogEntry> entries) {}

    private interface Writer {
        void write(DataOutputStream out) throws IOException;
    }

    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private RecordCodec() {}

    static byte[] encodeState(FolderState state) {
        return encode(out -> {
            out.writeLong(state.incarnation());
            out.writeBoolean(state.mayBootstrap());
            out.writeLong(state.hardState().term());
            out.writeUTF(state.hardState().votedFor().map(NodeName::value).orElse(""));
        });
    }

    static FolderState decodeState(byte[] bytes) {
        return decode(bytes, in -> {
            long incarnation = in.readLong();
            boolean mayBootstrap = in.readBoolean();
            long term = in.readLong();
            Optional<NodeName> votedFor =
                    Optional.of(in.readUTF()).filter(name -> !name.isEmpty()).map(NodeName::of);
            return new FolderState(incarnation, mayBootstrap, new HardState(term, votedFor));
        });
    }

    static byte[] encodeSnapshot(StoredSnapshot stored) {
        return encode(out -> {
            out.writeLong(stored.incarnation());
            writePosition(out, stored.snapshot().position());
            writeBytes(out, stored.snapshot().membership().encode());
            writeBytes(out, stored.snapshot().state());
        });
    }

    static StoredSnapshot decodeSnapshot(byte[] bytes) {
        return decode(bytes, in -> {
            long incarnation = in.readLong();
            Position position = readPosition(in);
            Membership membership = Membership.decode(readBytes(in));
            return new StoredSnapshot(incarnation, new Snapshot(position, membership, readBytes(in)));
        });
    }

    static byte[] encodeLogHeader(LogHeader header) {
        return encode(out -> {
            out.writeLong(header.incarnation());
            writePosition(out, header.base());
            writeEntries(out, header.entries());
        });
    }

    static LogHeader decodeLogHeader(byte[] bytes) {
        return decode(bytes, in -> {
            long incarnation = in.readLong();
            Position base = readPosition(in);
            return new LogHeader(incarnation, base, readEntries(in));
        });
    }

    static byte[] encodeEntries(List<LogEntry> entries) {
        return encode(out -> writeEntries(out, entries));
    }

    static ImmutableList<LogEntry> decodeEntries(byte[] bytes) {
        return decode(bytes, RecordCodec::readEntries);
    }

    private static void writeEntries(DataOutputStream out, List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            writePosition(out, entry.position());
            out.writeByte(entry.kind().code());
            writeBytes(out, entry.payload());
        }
    }

    private static ImmutableList<LogEntry> readEntries(DataInputStream in) throws IOException {
        ImmutableList.Builder<LogEntry> entries = ImmutableList.builder();
        while (in.available() > 0) {
            entries.add(readEntry(in));
        }
        return entries.build();
    }

    private static LogEntry readEntry(DataInputStream in) throws IOException {
        Position position = readPosition(in);
        EntryKind kind = EntryKind.of(in.readByte());
        return new LogEntry(position.index(), position.term(), kind, readBytes(in), position.digest());
    }

    private static void writePosition(DataOutputStream out, Position position) throws IOException {
        out.writeLong(position.index());
        out.writeLong(position.term());
        out.writeLong(position.digest().high());
        out.writeLong(position.digest().low());
    }

    private static Position readPosition(DataInputStream in) throws IOException {
        long index = in.readLong();
        long term = in.readLong();
        return new Position(index, term, new Digest(in.readLong(), in.readLong()));
    }

    private static void writeBytes(DataOutputStream out, Bytes bytes) throws IOException {
        out.writeInt(bytes.sizeBytes());
        out.write(bytes.array());
    }

    private static Bytes readBytes(DataInputStream in) throws IOException {
        int sizeBytes = in.readInt();
        if (sizeBytes < 0 || sizeBytes > in.available()) {
            throw new EOFException("size " + sizeBytes + " is negative or beyond the end of the record");
        }
        return Bytes.wrap(in.readNBytes(sizeBytes));
    }

    private static byte[] encode(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            writer.write(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new IllegalStateException("a write to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private static <T> T decode(byte[] bytes, Reader<T> reader) {
        try {
            return reader.read(new DataInputStream(new ByteArrayInputStream(bytes)));
        } catch (IOException | IllegalArgumentException e) {
            throw new DataLossException("a record with a valid checksum is malformed: " + e.getMessage(), e);
        }
    }
}

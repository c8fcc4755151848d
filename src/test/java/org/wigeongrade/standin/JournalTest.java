package org.wigeongrade.standin;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads journals while a record is being written. */
final class JournalTest {
    private static final int RECORDS = 200;

    @TempDir
    Path folder;

    // Guards against taking the rest of a record, written after its beginning had been read, for a record.
    @Test
    void readsOnlyRecordsThatAreComplete() throws Exception {
        final Path path = folder.resolve("vm.journal");
        final ImmutableList<Long> writtenNanos =
                LongStream.range(0, RECORDS).boxed().collect(toImmutableList());
        try (OutputStream file = Files.newOutputStream(path)) {
            final CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> writeByteByByte(file));
            while (!writing.isDone()) {
                final List<Long> readNanos = readNanos(path);
                assertThat(readNanos).isEqualTo(writtenNanos.subList(0, readNanos.size()));
            }
            writing.join();
        }
        assertThat(readNanos(path)).isEqualTo(writtenNanos);
    }

    @Test
    void skipsIncompleteLastRecord() throws Exception {
        final Path path = folder.resolve("vm.journal");
        final String record = StandinJson.write(entry(1));
        Files.writeString(path, StandinJson.write(entry(0)) + '\n' + record);
        assertThat(readNanos(path)).containsExactly(0L);
        Files.writeString(path, StandinJson.write(entry(0)) + '\n' + record.substring(0, record.length() / 2));
        assertThat(readNanos(path)).containsExactly(0L);
    }

    private static List<Long> readNanos(Path path) {
        return Journal.read(path).stream().map(JournalEntry::atNanos).toList();
    }

    private static void writeByteByByte(OutputStream file) {
        try {
            for (int number = 0; number < RECORDS; number++) {
                final String line = StandinJson.write(entry(number)) + '\n';
                for (final byte character : line.getBytes(StandardCharsets.UTF_8)) {
                    file.write(character);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JournalEntry entry(long atNanos) {
        return new JournalEntry(
                atNanos,
                "vm-1",
                1,
                JournalEvent.STARTED,
                "attempt-1",
                "d82b18d53b085747",
                "operation-\u00e9",
                null,
                "g1",
                List.of("vm-1"),
                null,
                "open",
                1L,
                1L,
                1,
                null);
    }
}

package org.wigeongrade.disk;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.log.EntryKind;
import org.wigeongrade.decisions.log.HardState;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.Membership;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.decisions.log.RecoveredState;
import org.wigeongrade.decisions.log.Snapshot;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;

final class LogStoreTest {
    private static final long INCARNATION = 7;
    private static final HardState VOTED = new HardState(3, Optional.of(NodeName.of("control-2")));

    @TempDir
    Path folder;

    private final FaultyFiles files = new FaultyFiles();

    @Test
    void whatWasSyncedIsReadBack() {
        List<LogEntry> entries = entries(Position.START, 5);
        try (LogStore store = open()) {
            store.saveHardState(VOTED);
            store.append(entries.subList(0, 2));
            store.append(entries.subList(2, 5));
        }
        try (LogStore store = open()) {
            assertThat(store.recovered())
                    .isEqualTo(new RecoveredState(
                            INCARNATION, true, VOTED, Optional.empty(), Position.START, ImmutableList.copyOf(entries)));
        }
    }

    @Test
    void anEntryDropsWhatWasAtItsIndexAndAfter() {
        List<LogEntry> old = entries(Position.START, 4);
        LogEntry replacement = LogEntry.after(old.get(1).position(), 9, EntryKind.NO_OP, Bytes.EMPTY);
        try (LogStore store = open()) {
            store.append(old);
            store.append(ImmutableList.of(replacement));
        }
        assertThat(reopened().entries())
                .containsExactly(old.get(0), old.get(1), replacement)
                .inOrder();
    }

    @Test
    void aTailTornAtAnyByteIsCut() throws IOException {
        List<LogEntry> entries = entries(Position.START, 3);
        long wholeBytes = writeTwoBatches(entries);
        byte[] file = Files.readAllBytes(log());
        for (int sizeBytes = (int) wholeBytes; sizeBytes < file.length; sizeBytes++) {
            Files.write(log(), Arrays.copyOf(file, sizeBytes));
            assertWithMessage("cut at %s", sizeBytes)
                    .that(reopened().entries())
                    .containsExactlyElementsIn(entries.subList(0, 2));
        }
    }

    @Test
    void damageBeforeTheLastRecordAtAnyByteMakesTheFolderLost() throws IOException {
        long lastRecordOffset = writeTwoBatches(entries(Position.START, 3));
        byte[] file = Files.readAllBytes(log());
        for (int at = 0; at < lastRecordOffset; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 0x10;
            Files.write(log(), damaged);
            assertThrows(DiskLostException.class, this::open, "damage at " + at);
        }
    }

    @Test
    void damageToTheLastEntriesMakesTheFolderLostOnceTheyAreMarked() throws IOException {
        long markOffset;
        try (LogStore store = open()) {
            store.append(entries(Position.START, 3));
            markOffset = store.logSizeBytes();
            store.mark();
        }
        byte[] file = Files.readAllBytes(log());
        for (int at = 0; at < file.length; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 0x10;
            Files.write(log(), damaged);
            if (at < markOffset) {
                assertThrows(DiskLostException.class, this::open, "damage at " + at);
            } else {
                assertThat(reopened().entries()).hasSize(3);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"state", "log", "snapshot"})
    void aMissingOrDamagedFileMakesTheFolderLost(String name) throws IOException {
        writeSnapshot();
        Path path = folder.resolve(name);
        byte[] content = Files.readAllBytes(path);
        Files.delete(path);
        assertThrows(DiskLostException.class, this::open);
        content[content.length / 2] ^= 1;
        Files.write(path, content);
        assertThrows(DiskLostException.class, this::open);
    }

    @Test
    void aFileOfAnotherIncarnationMakesTheFolderLost() throws IOException {
        writeSnapshot();
        byte[] foreign = Files.readAllBytes(log());
        LogStore.setAside(folder, files);
        LogStore.open(folder, files, () -> INCARNATION + 1).close();
        Files.write(log(), foreign);
        assertThrows(DiskLostException.class, this::open);
    }

    @Test
    void aFolderAfterALostOneIsANewIncarnationThatMayNotBootstrap() {
        writeSnapshot();
        LogStore.setAside(folder, files);
        try (LogStore store = LogStore.open(folder, files, () -> INCARNATION + 1)) {
            assertThat(store.recovered()).isEqualTo(RecoveredState.fresh(INCARNATION + 1, false));
        }
    }

    @Test
    void aFolderIsSetAsideAlsoAfterAnEarlierOneWasRemoved() throws IOException {
        Files.createDirectory(folder.resolve("lost-2"));
        for (String expected : new String[] {"lost-1", "lost-3"}) {
            open().close();
            LogStore.setAside(folder, files);
            assertThat(Files.exists(folder.resolve(expected).resolve("log"))).isTrue();
        }
    }

    @Test
    void aSnapshotShortensTheLogAndKeepsTheRest() {
        Snapshot snapshot = writeSnapshot();
        RecoveredState state = reopened();
        assertThat(state.snapshot()).hasValue(snapshot);
        assertThat(state.base()).isEqualTo(snapshot.position());
        assertThat(state.entries()).hasSize(2);
    }

    @Test
    void aCrashBetweenSnapshotAndLogTakesTheSnapshot() {
        List<LogEntry> entries = entries(Position.START, 3);
        Position far = new Position(90, 8, entries.get(2).digest());
        Snapshot installed = new Snapshot(far, Membership.NONE, Bytes.wrap(new byte[] {1}));
        try (LogStore store = open()) {
            store.append(entries);
            files.fail(FaultyFiles.Call.RENAME_LOG, "killed");
            assertThrows(WigeongradeException.class, () -> store.saveSnapshot(installed, far, ImmutableList.of()));
        }
        files.mend();
        RecoveredState state = reopened();
        assertThat(state.base()).isEqualTo(far);
        assertThat(state.entries()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(FaultyFiles.Call.class)
    void nothingIsTakenAfterAFailureUntilTheFolderIsReadAfresh(FaultyFiles.Call call) {
        List<LogEntry> entries = entries(Position.START, 2);
        try (LogStore store = open()) {
            store.saveHardState(VOTED);
            files.fail(call, "Input/output error");
            WigeongradeException failure = assertThrows(WigeongradeException.class, () -> writeAll(store, entries));
            assertThat(failure.kind()).isEqualTo(ErrorKind.DISK_FAILED);
            files.mend();
            assertThrows(WigeongradeException.class, () -> store.append(entries));
            assertThrows(WigeongradeException.class, () -> store.saveHardState(HardState.INITIAL));
        }
        assertThat(reopened().hardState()).isEqualTo(VOTED);
    }

    @ParameterizedTest
    @CsvSource({"No space left on device,the disk is full", "Input/output error,check the disk"})
    void theErrorTellsTheFix(String cause, String fix) {
        try (LogStore store = open()) {
            files.fail(FaultyFiles.Call.WRITE, cause);
            WigeongradeException failure =
                    assertThrows(WigeongradeException.class, () -> store.append(entries(Position.START, 1)));
            assertThat(failure).hasMessageThat().contains(fix);
        }
    }

    @Test
    void oneProcessHoldsTheFolder() {
        try (LogStore store = open()) {
            WigeongradeException failure = assertThrows(WigeongradeException.class, this::open);
            assertThat(failure).hasMessageThat().contains("in use by another process");
            assertThat(store.recovered().incarnation()).isEqualTo(INCARNATION);
        }
    }

    private void writeAll(LogStore store, List<LogEntry> entries) {
        store.append(entries);
        Position last = entries.get(1).position();
        store.saveSnapshot(new Snapshot(last, Membership.NONE, Bytes.EMPTY), last, ImmutableList.of());
    }

    private long writeTwoBatches(List<LogEntry> entries) {
        try (LogStore store = open()) {
            store.append(entries.subList(0, 2));
            long sizeBytes = store.logSizeBytes();
            store.append(entries.subList(2, 3));
            return sizeBytes;
        }
    }

    private Snapshot writeSnapshot() {
        List<LogEntry> entries = entries(Position.START, 5);
        Position covered = entries.get(2).position();
        Membership membership = Membership.of(ImmutableMap.of(NodeName.of("control-1"), INCARNATION));
        Snapshot snapshot = new Snapshot(covered, membership, Bytes.wrap(new byte[] {1, 2, 3}));
        try (LogStore store = open()) {
            store.append(entries);
            store.saveSnapshot(snapshot, covered, entries.subList(3, 5));
        }
        return snapshot;
    }

    private LogStore open() {
        return LogStore.open(folder, files, () -> INCARNATION);
    }

    private RecoveredState reopened() {
        try (LogStore store = open()) {
            return store.recovered();
        }
    }

    private Path log() {
        return folder.resolve("log");
    }

    private static List<LogEntry> entries(Position after, int count) {
        List<LogEntry> entries = new ArrayList<>();
        Position previous = after;
        for (int i = 0; i < count; i++) {
            Bytes payload = Bytes.wrap(("command-" + i).getBytes(StandardCharsets.US_ASCII));
            LogEntry entry = LogEntry.after(previous, 2, EntryKind.COMMAND, payload);
            entries.add(entry);
            previous = entry.position();
        }
        return entries;
    }
}

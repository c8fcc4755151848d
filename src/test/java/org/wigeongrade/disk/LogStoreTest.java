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

    private final FaultyFileOperations files = new FaultyFileOperations();

    @Test
    void syncedStateIsReadBackAfterAReopen() {
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
    void anAppendedEntryReplacesAllEntriesFromItsIndexOn() {
        List<LogEntry> old = entries(Position.START, 4);
        LogEntry replacement = LogEntry.after(old.get(1).position(), 9, EntryKind.NO_OP, Bytes.EMPTY);
        try (LogStore store = open()) {
            store.append(old);
            store.append(ImmutableList.of(replacement));
        }
        assertThat(recoveredAfterReopen().entries())
                .containsExactly(old.get(0), old.get(1), replacement)
                .inOrder();
    }

    @Test
    void aLastFrameTornAtAnyByteIsDropped() throws IOException {
        List<LogEntry> entries = entries(Position.START, 3);
        long firstFramesBytes = writeTwoBatches(entries);
        byte[] file = Files.readAllBytes(logPath());
        for (int sizeBytes = (int) firstFramesBytes; sizeBytes < file.length; sizeBytes++) {
            Files.write(logPath(), Arrays.copyOf(file, sizeBytes));
            assertWithMessage("truncated to %s bytes", sizeBytes)
                    .that(recoveredAfterReopen().entries())
                    .containsExactlyElementsIn(entries.subList(0, 2));
        }
    }

    @Test
    void damageAtAnyByteBeforeTheLastFrameIsDataLoss() throws IOException {
        long lastFrameOffset = writeTwoBatches(entries(Position.START, 3));
        byte[] file = Files.readAllBytes(logPath());
        for (int at = 0; at < lastFrameOffset; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 0x10;
            Files.write(logPath(), damaged);
            assertThrows(DataLossException.class, this::open, "damage at byte " + at);
        }
    }

    @Test
    void damageToTheLastBatchIsDataLossOnceItIsSealed() throws IOException {
        long sealOffset;
        try (LogStore store = open()) {
            store.append(entries(Position.START, 3));
            sealOffset = store.logSizeBytes();
            store.sealLastBatch();
        }
        byte[] file = Files.readAllBytes(logPath());
        for (int at = 0; at < file.length; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 0x10;
            Files.write(logPath(), damaged);
            if (at < sealOffset) {
                assertThrows(DataLossException.class, this::open, "damage at byte " + at);
            } else {
                assertThat(recoveredAfterReopen().entries()).hasSize(3);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"state", "log", "snapshot"})
    void aMissingOrDamagedFileIsDataLoss(String name) throws IOException {
        writeSnapshot();
        Path path = folder.resolve(name);
        byte[] content = Files.readAllBytes(path);
        Files.delete(path);
        assertThrows(DataLossException.class, this::open);
        content[content.length / 2] ^= 1;
        Files.write(path, content);
        assertThrows(DataLossException.class, this::open);
    }

    @Test
    void aFileOfAnotherIncarnationIsDataLoss() throws IOException {
        writeSnapshot();
        byte[] otherLog = Files.readAllBytes(logPath());
        LogStore.moveToLostFolder(folder, files);
        LogStore.open(folder, files, () -> INCARNATION + 1).close();
        Files.write(logPath(), otherLog);
        assertThrows(DataLossException.class, this::open);
    }

    @Test
    void aFolderAfterALostOneHasANewIncarnationThatMayNotBootstrap() {
        writeSnapshot();
        LogStore.moveToLostFolder(folder, files);
        try (LogStore store = LogStore.open(folder, files, () -> INCARNATION + 1)) {
            assertThat(store.recovered()).isEqualTo(RecoveredState.fresh(INCARNATION + 1, false));
        }
    }

    @Test
    void aLostFolderGetsTheLowestFreeNumber() throws IOException {
        Files.createDirectory(folder.resolve("lost-2"));
        for (String expected : new String[] {"lost-1", "lost-3"}) {
            open().close();
            LogStore.moveToLostFolder(folder, files);
            assertThat(Files.exists(folder.resolve(expected).resolve("log"))).isTrue();
        }
    }

    @Test
    void aSnapshotDropsTheEntriesItCoversAndKeepsTheRest() {
        Snapshot snapshot = writeSnapshot();
        RecoveredState state = recoveredAfterReopen();
        assertThat(state.snapshot()).hasValue(snapshot);
        assertThat(state.base()).isEqualTo(snapshot.position());
        assertThat(state.entries()).hasSize(2);
    }

    @Test
    void afterACrashBetweenSnapshotAndLogTheSnapshotReplacesTheLog() {
        List<LogEntry> entries = entries(Position.START, 3);
        Position farAhead = new Position(90, 8, entries.get(2).digest());
        Snapshot installed = new Snapshot(farAhead, Membership.NONE, Bytes.wrap(new byte[] {1}));
        try (LogStore store = open()) {
            store.append(entries);
            files.failEvery(FaultyFileOperations.Call.RENAME_LOG, "killed");
            assertThrows(WigeongradeException.class, () -> store.saveSnapshot(installed, farAhead, ImmutableList.of()));
        }
        files.stopFailing();
        RecoveredState state = recoveredAfterReopen();
        assertThat(state.base()).isEqualTo(farAhead);
        assertThat(state.entries()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(FaultyFileOperations.Call.class)
    void afterAFailedCallEveryWriteFailsUntilTheFolderIsReopened(FaultyFileOperations.Call call) {
        List<LogEntry> entries = entries(Position.START, 2);
        try (LogStore store = open()) {
            store.saveHardState(VOTED);
            files.failEvery(call, "Input/output error");
            WigeongradeException failure = assertThrows(WigeongradeException.class, () -> writeAll(store, entries));
            assertThat(failure.kind()).isEqualTo(ErrorKind.DISK_FAILED);
            files.stopFailing();
            assertThrows(WigeongradeException.class, () -> store.append(entries));
            assertThrows(WigeongradeException.class, () -> store.saveHardState(HardState.INITIAL));
        }
        assertThat(recoveredAfterReopen().hardState()).isEqualTo(VOTED);
    }

    @ParameterizedTest
    @EnumSource(FaultyFileOperations.Call.class)
    void aWriteToAFullDiskIsRepeatedUntilThereIsSpace(FaultyFileOperations.Call call) {
        List<LogEntry> entries = entries(Position.START, 4);
        List<String> refused = new ArrayList<>();
        FullDiskPolicy policy = message -> {
            refused.add(message);
            if (refused.size() % 3 == 0) {
                files.stopFailing();
            }
            return true;
        };
        try (LogStore store = LogStore.open(folder, files, () -> INCARNATION, policy)) {
            store.append(entries.subList(0, 2));
            files.failEvery(call, "No space left on device");
            store.append(entries.subList(2, 3));
            store.saveHardState(VOTED);
            Position first = entries.get(0).position();
            store.saveSnapshot(new Snapshot(first, Membership.NONE, Bytes.EMPTY), first, entries.subList(1, 3));
            store.append(entries.subList(3, 4));
        }

        assertThat(refused).hasSize(3);
        RecoveredState state = recoveredAfterReopen();
        assertThat(state.hardState()).isEqualTo(VOTED);
        assertThat(state.entries())
                .containsExactlyElementsIn(entries.subList(1, 4))
                .inOrder();
    }

    @Test
    void aFolderIsOpenedOnceItsDiskHasSpace() {
        files.failEvery(FaultyFileOperations.Call.WRITE, "No space left on device");
        FullDiskPolicy policy = message -> {
            files.stopFailing();
            return true;
        };

        try (LogStore store = LogStore.open(folder, files, () -> INCARNATION, policy)) {
            store.append(entries(Position.START, 1));
        }
        assertThat(recoveredAfterReopen().entries()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"No space left on device,the disk is full", "Input/output error,check the disk"})
    void theErrorNamesTheRemedy(String systemMessage, String remedy) {
        try (LogStore store = open()) {
            files.failEvery(FaultyFileOperations.Call.WRITE, systemMessage);
            WigeongradeException failure =
                    assertThrows(WigeongradeException.class, () -> store.append(entries(Position.START, 1)));
            assertThat(failure).hasMessageThat().contains(remedy);
        }
    }

    @Test
    void aFolderInUseCannotBeOpenedAgain() {
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

    private RecoveredState recoveredAfterReopen() {
        try (LogStore store = open()) {
            return store.recovered();
        }
    }

    private Path logPath() {
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

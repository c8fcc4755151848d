package org.wigeongrade.disk;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.log.HardState;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.decisions.log.RecoveredState;
import org.wigeongrade.decisions.log.Snapshot;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * One replica's data folder.
 *
 * <p>Invariants: each method returns only once its change is durable; after one failed call every later one fails too,
 * until the folder is opened and read afresh; one process at a time holds the folder. Not thread safe.
 */
public final class LogStore implements AutoCloseable {
    private static final String STATE_FILE = "state";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String LOG_FILE = "log";
    private static final String LOST_PREFIX = "lost-";
    private static final int STATE_MAGIC = 0x57475354;
    private static final int SNAPSHOT_MAGIC = 0x5747534e;

    private interface Change {
        void make() throws IOException;
    }

    private final Path folder;
    private final FolderLock lock;
    private final AtomicFile stateFile;
    private final AtomicFile snapshotFile;
    private final LogFile logFile;
    private RecoveredState recovered;
    private boolean failed;

    private LogStore(Path folder, FolderLock lock, FileOperations files) {
        this.folder = folder;
        this.lock = lock;
        this.stateFile = new AtomicFile(folder.resolve(STATE_FILE), STATE_MAGIC, files);
        this.snapshotFile = new AtomicFile(folder.resolve(SNAPSHOT_FILE), SNAPSHOT_MAGIC, files);
        this.logFile = new LogFile(folder.resolve(LOG_FILE), files);
        this.recovered = RecoveredState.fresh(0, false);
    }

    /**
     * Opens a folder, or makes a new one under a new incarnation. Throws {@link DiskLostException} if the folder lost
     * something, and fails with DISK_FAILED if it cannot be used.
     */
    public static LogStore open(Path folder, FileOperations files, LongSupplier newIncarnation) {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw DiskFailures.failed(folder, e);
        }
        FolderLock lock = FolderLock.take(folder);
        LogStore store = new LogStore(folder, lock, files);
        try {
            store.recover(newIncarnation);
            return store;
        } catch (IOException e) {
            lock.close();
            throw DiskFailures.failed(folder, e);
        } catch (RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    /** Moves a lost folder's files into a subfolder, so that the next open starts a new incarnation that may not bootstrap. */
    public static void setAside(Path folder, FileOperations files) {
        try (FolderLock held = FolderLock.take(folder)) {
            Path aside = Files.createDirectory(nextLostFolder(folder));
            for (String name : ImmutableList.of(LOG_FILE, SNAPSHOT_FILE, STATE_FILE)) {
                if (Files.exists(folder.resolve(name))) {
                    files.rename(folder.resolve(name), aside.resolve(name));
                }
            }
            files.syncFolder(aside);
            files.syncFolder(folder);
        } catch (IOException e) {
            throw DiskFailures.failed(folder, e);
        }
    }

    /** Returns what the folder held when it was opened. */
    public RecoveredState recovered() {
        return recovered;
    }

    public void saveHardState(HardState hardState) {
        change(() -> writeState(hardState));
    }

    /** Appends entries and syncs once; an entry drops everything stored at its index and after. */
    public void append(List<LogEntry> entries) {
        change(() -> logFile.append(entries));
    }

    /** Closes the last batch, so that later damage to it makes the folder lost and does not pass as a torn tail. */
    public void mark() {
        change(logFile::mark);
    }

    /** Stores a snapshot and replaces the log by the entries after a base that is not past it. */
    public void saveSnapshot(Snapshot snapshot, Position base, List<LogEntry> entries) {
        change(() -> {
            snapshotFile.replace(
                    RecordCodec.encodeSnapshot(new RecordCodec.StoredSnapshot(recovered.incarnation(), snapshot)));
            rewriteLog(base, entries);
        });
    }

    /** Returns the size of the log file in bytes. */
    public long logSizeBytes() {
        try {
            return logFile.sizeBytes();
        } catch (IOException e) {
            throw DiskFailures.failed(folder, e);
        }
    }

    @Override
    public void close() {
        try {
            logFile.close();
        } catch (IOException e) {
            throw DiskFailures.failed(folder, e);
        } finally {
            lock.close();
        }
    }

    private void recover(LongSupplier newIncarnation) throws IOException {
        Optional<RecordCodec.FolderState> state = stateFile.read().map(RecordCodec::decodeState);
        Optional<RecordCodec.StoredSnapshot> snapshot = snapshotFile.read().map(RecordCodec::decodeSnapshot);
        Optional<LogFile.Content> log = logFile.read();
        boolean unused = snapshot.isEmpty()
                && log.map(content -> content.entries().isEmpty()).orElse(true);
        if (state.isEmpty() && unused) {
            recovered = RecoveredState.fresh(newIncarnation.getAsLong(), lostFolders(folder) == 0);
            rewriteLog(Position.START, ImmutableList.of());
            writeState(HardState.INITIAL);
            return;
        }
        recovered = FolderCheck.join(folder, state, snapshot, log);
        rewriteLog(recovered.base(), recovered.entries());
    }

    private void rewriteLog(Position base, List<LogEntry> entries) throws IOException {
        logFile.rewrite(new LogFile.Content(recovered.incarnation(), base, ImmutableList.copyOf(entries)));
    }

    private void writeState(HardState hardState) throws IOException {
        stateFile.replace(RecordCodec.encodeState(
                new RecordCodec.FolderState(recovered.incarnation(), recovered.mayBootstrap(), hardState)));
    }

    private void change(Change change) {
        if (failed) {
            throw new WigeongradeException(
                    ErrorKind.DISK_FAILED, "data folder " + folder + " failed before; start this VM again");
        }
        try {
            change.make();
        } catch (IOException e) {
            failed = true;
            throw DiskFailures.failed(folder, e);
        }
    }

    private static Path nextLostFolder(Path folder) {
        int number = 1;
        while (Files.exists(folder.resolve(LOST_PREFIX + number))) {
            number++;
        }
        return folder.resolve(LOST_PREFIX + number);
    }

    private static long lostFolders(Path folder) throws IOException {
        long count = 0;
        try (DirectoryStream<Path> found = Files.newDirectoryStream(folder, LOST_PREFIX + "*")) {
            for (Path unused : found) {
                count++;
            }
        }
        return count;
    }
}

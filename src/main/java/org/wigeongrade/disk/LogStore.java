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
 * The data folder of one replica.
 *
 * <p>Invariants: each method returns only once its change is durable; a write to a full disk is repeated for as long as
 * the {@link FullDiskPolicy} asks for it; after any other failed write every later write fails too, until the folder is
 * opened and read again; only one process at a time has the folder open. Not thread safe.
 */
public final class LogStore implements AutoCloseable {
    private static final String STATE_FILE = "state";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String LOG_FILE = "log";
    private static final String LOST_PREFIX = "lost-";
    private static final int STATE_MAGIC = 0x57475354;
    private static final int SNAPSHOT_MAGIC = 0x5747534e;

    private interface WriteOperation {
        void run() throws IOException;
    }

    private final Path folder;
    private final FolderLock lock;
    private final AtomicFile stateFile;
    private final AtomicFile snapshotFile;
    private final LogFile logFile;
    private final FullDiskPolicy fullDiskPolicy;
    private RecoveredState recovered;
    private boolean failed;

    private LogStore(Path folder, FolderLock lock, FileOperations files, FullDiskPolicy fullDiskPolicy) {
        this.folder = folder;
        this.lock = lock;
        this.stateFile = new AtomicFile(folder.resolve(STATE_FILE), STATE_MAGIC, files);
        this.snapshotFile = new AtomicFile(folder.resolve(SNAPSHOT_FILE), SNAPSHOT_MAGIC, files);
        this.logFile = new LogFile(folder.resolve(LOG_FILE), files);
        this.fullDiskPolicy = fullDiskPolicy;
        this.recovered = RecoveredState.fresh(0, false);
    }

    /**
     * Opens a folder, or creates one with a new incarnation. Throws {@link DataLossException} if stored data is missing
     * or damaged, and fails with DISK_FAILED if the folder cannot be used.
     */
    public static LogStore open(Path folder, FileOperations files, LongSupplier newIncarnation) {
        return open(folder, files, newIncarnation, FullDiskPolicy.FAIL);
    }

    /** Opens a folder as above; {@code fullDiskPolicy} decides on writes for which no space is left. */
    public static LogStore open(
            Path folder, FileOperations files, LongSupplier newIncarnation, FullDiskPolicy fullDiskPolicy) {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw DiskFailures.toException(folder, e);
        }
        FolderLock lock = FolderLock.acquire(folder);
        LogStore store = new LogStore(folder, lock, files, fullDiskPolicy);
        try {
            store.repeatWhileFull(() -> store.recover(newIncarnation));
            return store;
        } catch (IOException e) {
            lock.close();
            throw DiskFailures.toException(folder, e);
        } catch (RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    /**
     * Moves the files of a folder with data loss into a subfolder, so that the next open starts a new incarnation that
     * may not bootstrap.
     */
    public static void moveToLostFolder(Path folder, FileOperations files) {
        try (FolderLock held = FolderLock.acquire(folder)) {
            Path lostFolder = Files.createDirectory(nextLostFolder(folder));
            for (String name : ImmutableList.of(LOG_FILE, SNAPSHOT_FILE, STATE_FILE)) {
                if (Files.exists(folder.resolve(name))) {
                    files.rename(folder.resolve(name), lostFolder.resolve(name));
                }
            }
            files.syncFolder(lostFolder);
            files.syncFolder(folder);
        } catch (IOException e) {
            throw DiskFailures.toException(folder, e);
        }
    }

    /** Returns the state that the folder held when it was opened. */
    public RecoveredState recovered() {
        return recovered;
    }

    /** Stores the term and the vote. */
    public void saveHardState(HardState hardState) {
        runDurably(() -> writeState(hardState));
    }

    /** Appends entries and syncs once. An entry replaces all stored entries from its index on. */
    public void append(List<LogEntry> entries) {
        runDurably(() -> logFile.append(entries));
    }

    /**
     * Seals the last batch, so that later damage to it is detected as data loss, and not taken for a torn last frame.
     */
    public void sealLastBatch() {
        runDurably(logFile::sealLastBatch);
    }

    /**
     * Stores a snapshot and replaces the log with the entries after {@code base}, which is at or before the position of
     * the snapshot.
     */
    public void saveSnapshot(Snapshot snapshot, Position base, List<LogEntry> entries) {
        runDurably(() -> {
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
            throw DiskFailures.toException(folder, e);
        }
    }

    @Override
    public void close() {
        try {
            logFile.close();
        } catch (IOException e) {
            throw DiskFailures.toException(folder, e);
        } finally {
            lock.close();
        }
    }

    private void recover(LongSupplier newIncarnation) throws IOException {
        Optional<RecordCodec.FolderState> state = stateFile.read().map(RecordCodec::decodeState);
        Optional<RecordCodec.StoredSnapshot> snapshot = snapshotFile.read().map(RecordCodec::decodeSnapshot);
        Optional<LogFile.Content> log = logFile.read();
        boolean holdsNoData = snapshot.isEmpty()
                && log.map(content -> content.entries().isEmpty()).orElse(true);
        if (state.isEmpty() && holdsNoData) {
            recovered = RecoveredState.fresh(newIncarnation.getAsLong(), countLostFolders(folder) == 0);
            rewriteLog(Position.START, ImmutableList.of());
            writeState(HardState.INITIAL);
            return;
        }
        recovered = DataFolderRecovery.recover(folder, state, snapshot, log);
        rewriteLog(recovered.base(), recovered.entries());
    }

    private void rewriteLog(Position base, List<LogEntry> entries) throws IOException {
        logFile.rewrite(new LogFile.Content(recovered.incarnation(), base, ImmutableList.copyOf(entries)));
    }

    private void writeState(HardState hardState) throws IOException {
        stateFile.replace(RecordCodec.encodeState(
                new RecordCodec.FolderState(recovered.incarnation(), recovered.mayBootstrap(), hardState)));
    }

    private void runDurably(WriteOperation operation) {
        if (failed) {
            throw new WigeongradeException(
                    ErrorKind.DISK_FAILED,
                    "data folder " + folder + " failed on an earlier write; start this VM again");
        }
        try {
            repeatWhileFull(operation);
        } catch (IOException e) {
            failed = true;
            throw DiskFailures.toException(folder, e);
        }
    }

    /** Runs an operation that can be repeated from its start after a failure. */
    private void repeatWhileFull(WriteOperation operation) throws IOException {
        while (true) {
            try {
                operation.run();
                return;
            } catch (IOException e) {
                final boolean repeat = DiskFailures.isFull(e)
                        && fullDiskPolicy.shouldRepeat(
                                DiskFailures.toException(folder, e).getMessage());
                if (!repeat) {
                    throw e;
                }
            }
        }
    }

    private static Path nextLostFolder(Path folder) {
        int number = 1;
        while (Files.exists(folder.resolve(LOST_PREFIX + number))) {
            number++;
        }
        return folder.resolve(LOST_PREFIX + number);
    }

    private static long countLostFolders(Path folder) throws IOException {
        long count = 0;
        try (DirectoryStream<Path> folders = Files.newDirectoryStream(folder, LOST_PREFIX + "*")) {
            for (Path unused : folders) {
                count++;
            }
        }
        return count;
    }
}

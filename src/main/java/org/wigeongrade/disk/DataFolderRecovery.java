package org.wigeongrade.disk;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.Optional;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.decisions.log.RecoveredState;
import org.wigeongrade.decisions.log.Snapshot;

/**
 * Builds the recovered state from the files of a data folder.
 *
 * <p>Throws {@link DataLossException} if a file is missing, if the files belong to different incarnations, or if there
 * is a gap between the snapshot and the log: such a folder has lost data that it had stored durably. Stateless.
 */
final class DataFolderRecovery {
    private DataFolderRecovery() {}

    /** Returns the state that the files describe. */
    static RecoveredState recover(
            Path folder,
            Optional<RecordCodec.FolderState> state,
            Optional<RecordCodec.StoredSnapshot> snapshot,
            Optional<LogFile.Content> log) {
        if (state.isEmpty() || log.isEmpty()) {
            throw new DataLossException("data folder " + folder + " has no state file or no log file");
        }
        long incarnation = state.get().incarnation();
        boolean sameLog = log.get().incarnation() == incarnation;
        boolean sameSnapshot =
                snapshot.map(found -> found.incarnation() == incarnation).orElse(true);
        if (!sameLog || !sameSnapshot) {
            throw new DataLossException("data folder " + folder + " contains files of different incarnations");
        }
        return combineWithLog(folder, state.get(), snapshot.map(RecordCodec.StoredSnapshot::snapshot), log.get());
    }

    /**
     * Combines the snapshot and the log. The snapshot replaces a log that does not contain its position, which is left
     * behind if a crash comes between storing an installed snapshot and rewriting the log.
     */
    private static RecoveredState combineWithLog(
            Path folder, RecordCodec.FolderState state, Optional<Snapshot> snapshot, LogFile.Content log) {
        Position snapshotPosition = snapshot.map(Snapshot::position).orElse(Position.START);
        if (log.base().index() > snapshotPosition.index()) {
            throw new DataLossException("data folder " + folder + " has no snapshot up to the start of its log");
        }
        Optional<Position> logPosition = positionAt(log, snapshotPosition.index())
                .filter(position -> position.term() == snapshotPosition.term());
        if (logPosition.isPresent() && !logPosition.get().digest().equals(snapshotPosition.digest())) {
            throw new DataLossException(
                    "data folder " + folder + " has a snapshot whose digest differs from that of its log");
        }
        boolean logSuperseded = logPosition.isEmpty();
        return new RecoveredState(
                state.incarnation(),
                state.mayBootstrap(),
                state.hardState(),
                snapshot,
                logSuperseded ? snapshotPosition : log.base(),
                logSuperseded ? ImmutableList.of() : log.entries());
    }

    private static Optional<Position> positionAt(LogFile.Content log, long index) {
        if (index == log.base().index()) {
            return Optional.of(log.base());
        }
        return log.entries().stream()
                .filter(entry -> entry.index() == index)
                .map(LogEntry::position)
                .findFirst();
    }
}

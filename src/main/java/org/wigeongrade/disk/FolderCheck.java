package org.wigeongrade.disk;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.Optional;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.decisions.log.RecoveredState;
import org.wigeongrade.decisions.log.Snapshot;

/**
 * Joins the files of a folder into one state.
 *
 * <p>What: refuses files of different incarnations, a missing file and a gap between snapshot and log. Why: such a folder
 * forgot something that it promised. Stateless.
 */
final class FolderCheck {
    private FolderCheck() {}

    static RecoveredState join(
            Path folder,
            Optional<RecordCodec.FolderState> state,
            Optional<RecordCodec.StoredSnapshot> snapshot,
            Optional<LogFile.Content> log) {
        if (state.isEmpty() || log.isEmpty()) {
            throw new DiskLostException("data folder " + folder + " lacks its state file or its log file");
        }
        long incarnation = state.get().incarnation();
        boolean sameLog = log.get().incarnation() == incarnation;
        boolean sameSnapshot =
                snapshot.map(found -> found.incarnation() == incarnation).orElse(true);
        if (!sameLog || !sameSnapshot) {
            throw new DiskLostException("data folder " + folder + " mixes files of different incarnations");
        }
        return joinLog(folder, state.get(), snapshot.map(RecordCodec.StoredSnapshot::snapshot), log.get());
    }

    private static RecoveredState joinLog(
            Path folder, RecordCodec.FolderState state, Optional<Snapshot> snapshot, LogFile.Content log) {
        Position covered = snapshot.map(Snapshot::position).orElse(Position.START);
        if (log.base().index() > covered.index()) {
            throw new DiskLostException("data folder " + folder + " lacks the snapshot before its log");
        }
        Optional<Position> own = positionAt(log, covered.index()).filter(at -> at.term() == covered.term());
        if (own.isPresent() && !own.get().digest().equals(covered.digest())) {
            throw new DiskLostException("data folder " + folder + " has a snapshot with another digest than its log");
        }
        boolean superseded = own.isEmpty();
        return new RecoveredState(
                state.incarnation(),
                state.mayBootstrap(),
                state.hardState(),
                snapshot,
                superseded ? covered : log.base(),
                superseded ? ImmutableList.of() : log.entries());
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

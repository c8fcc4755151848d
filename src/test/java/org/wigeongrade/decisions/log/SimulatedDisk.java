package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Durable content of one simulated data folder. Not thread safe. */
final class SimulatedDisk {
    final long incarnation;
    private HardState hardState = HardState.INITIAL;
    private Optional<Snapshot> snapshot = Optional.empty();
    private Position base = Position.START;
    private List<LogEntry> entries = new ArrayList<>();

    SimulatedDisk(long incarnation) {
        this.incarnation = incarnation;
    }

    /** Stores the outputs of a replica; returns false if an entry would leave a gap after the stored ones. */
    boolean store(Outputs outputs) {
        outputs.hardState().ifPresent(state -> hardState = state);
        outputs.installed().ifPresent(installed -> compact(installed, installed.position(), ImmutableList.of()));
        for (LogEntry entry : outputs.entries()) {
            int kept = (int) (entry.index() - base.index() - 1);
            if (kept < 0 || kept > entries.size()) {
                return false;
            }
            entries.subList(kept, entries.size()).clear();
            entries.add(entry);
        }
        return true;
    }

    void compact(Snapshot taken, Position newBase, List<LogEntry> rest) {
        snapshot = Optional.of(taken);
        base = newBase;
        entries = new ArrayList<>(rest);
    }

    RecoveredState recovered() {
        return new RecoveredState(incarnation, true, hardState, snapshot, base, ImmutableList.copyOf(entries));
    }
}

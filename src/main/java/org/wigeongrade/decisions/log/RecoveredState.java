package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * State read from the data folder at startup.
 *
 * <p>Invariant: the entries follow the base without a gap, and the base is not past the snapshot. Immutable.
 *
 * @param incarnation identifies the data folder
 * @param mayBootstrap false if an earlier folder of this node was lost; the present one then never counts as new
 */
public record RecoveredState(
        long incarnation,
        boolean mayBootstrap,
        HardState hardState,
        Optional<Snapshot> snapshot,
        Position base,
        ImmutableList<LogEntry> entries) {
    /** Returns the state of a new data folder. */
    public static RecoveredState fresh(long incarnation, boolean mayBootstrap) {
        return new RecoveredState(
                incarnation, mayBootstrap, HardState.INITIAL, Optional.empty(), Position.START, ImmutableList.of());
    }
}

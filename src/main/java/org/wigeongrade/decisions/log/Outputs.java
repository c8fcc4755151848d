package org.wigeongrade.decisions.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * What the driver must do, in this order: write the hard state; send {@link #immediate}; store the snapshot and restore
 * the state machine from it; append and sync the entries; send {@link #afterPersist}; apply the committed entries.
 *
 * <p>Invariant: nothing in {@link #afterPersist} leaves before everything drained so far is synced. Not thread safe.
 */
public final class Outputs {
    /** A message and the node it goes to. */
    public record Outgoing(NodeName to, LogMessage message) {}

    private Optional<HardState> hardState = Optional.empty();
    private Optional<Snapshot> installed = Optional.empty();
    private Optional<HaltReason> halt = Optional.empty();
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<LogEntry> committed = new ArrayList<>();
    private final List<Outgoing> immediate = new ArrayList<>();
    private final List<Outgoing> afterPersist = new ArrayList<>();

    public Optional<HardState> hardState() {
        return hardState;
    }

    /** Returns a snapshot that replaces the whole log and state. */
    public Optional<Snapshot> installed() {
        return installed;
    }

    public Optional<HaltReason> halt() {
        return halt;
    }

    /** Returns the entries to append; an entry drops everything stored at its index and after. */
    public List<LogEntry> entries() {
        return entries;
    }

    public List<LogEntry> committed() {
        return committed;
    }

    public List<Outgoing> immediate() {
        return immediate;
    }

    public List<Outgoing> afterPersist() {
        return afterPersist;
    }

    /** Returns whether there is nothing to do. */
    public boolean isEmpty() {
        return hardState.isEmpty()
                && installed.isEmpty()
                && halt.isEmpty()
                && entries.isEmpty()
                && committed.isEmpty()
                && immediate.isEmpty()
                && afterPersist.isEmpty();
    }

    void setHardState(HardState state) {
        hardState = Optional.of(state);
    }

    void setHalt(HaltReason reason) {
        halt = Optional.of(reason);
    }

    void install(Snapshot snapshot) {
        entries.clear();
        committed.clear();
        installed = Optional.of(snapshot);
    }

    void persist(LogEntry entry) {
        entries.add(entry);
    }

    void apply(LogEntry entry) {
        committed.add(entry);
    }

    void send(NodeName to, LogMessage message) {
        afterPersist.add(new Outgoing(to, message));
    }

    void sendImmediately(NodeName to, LogMessage message) {
        immediate.add(new Outgoing(to, message));
    }
}

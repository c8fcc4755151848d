package org.wigeongrade.decisions.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Actions that the driver of {@link RaftCore} must perform, in this order: write the hard state; send {@link
 * #immediate}; store the snapshot and restore the state machine from it; append and sync the entries; send {@link
 * #afterPersist}; apply the committed entries.
 *
 * <p>Invariant: no message in {@link #afterPersist} is sent before everything drained so far is synced to disk. Not
 * thread safe.
 */
public final class Outputs {
    /** A message and its destination. */
    public record OutgoingMessage(NodeName to, LogMessage message) {}

    private Optional<HardState> hardState = Optional.empty();
    private Optional<Snapshot> installed = Optional.empty();
    private Optional<HaltReason> halt = Optional.empty();
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<LogEntry> committed = new ArrayList<>();
    private final List<OutgoingMessage> immediate = new ArrayList<>();
    private final List<OutgoingMessage> afterPersist = new ArrayList<>();

    public Optional<HardState> hardState() {
        return hardState;
    }

    /** Returns the snapshot that replaces the whole log and state, if there is one. */
    public Optional<Snapshot> installed() {
        return installed;
    }

    public Optional<HaltReason> halt() {
        return halt;
    }

    /** Returns the entries to append; an entry replaces the one stored at its index and all later ones. */
    public List<LogEntry> entries() {
        return entries;
    }

    public List<LogEntry> committed() {
        return committed;
    }

    public List<OutgoingMessage> immediate() {
        return immediate;
    }

    public List<OutgoingMessage> afterPersist() {
        return afterPersist;
    }

    /** Returns whether there is no action to perform. */
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
        afterPersist.add(new OutgoingMessage(to, message));
    }

    void sendImmediately(NodeName to, LogMessage message) {
        immediate.add(new OutgoingMessage(to, message));
    }
}

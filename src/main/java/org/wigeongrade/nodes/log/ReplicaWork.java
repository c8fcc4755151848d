package org.wigeongrade.nodes.log;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.log.EntryKind;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.Outputs;
import org.wigeongrade.decisions.log.RaftCore;
import org.wigeongrade.decisions.log.Snapshot;
import org.wigeongrade.disk.LogStore;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * Carries out what the core asks for, in the order that {@link Outputs} states.
 *
 * <p>Invariant: a message that promises something leaves only after the promise is synced. Used by the writer thread
 * only.
 */
final class ReplicaWork {
    private static final long MARK_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_RETAINED_BYTES = 4L * 1024 * 1024;

    private final RaftCore core;
    private final LogStore store;
    private final LogTransport transport;
    private final ReplicatedStateMachine machine;
    private final PendingCommands pending;
    private final long compactAfterEntries;
    private OptionalLong markDeadlineNanos = OptionalLong.empty();

    ReplicaWork(
            RaftCore core,
            LogStore store,
            LogTransport transport,
            ReplicatedStateMachine machine,
            PendingCommands pending,
            long compactAfterEntries) {
        this.core = core;
        this.store = store;
        this.transport = transport;
        this.machine = machine;
        this.pending = pending;
        this.compactAfterEntries = compactAfterEntries;
    }

    void restore(Snapshot snapshot) {
        machine.restore(snapshot.state().array());
    }

    /** Does everything the core asks for now, then takes a snapshot and closes the last batch if that is due. */
    void run(LongSupplier clock) {
        Outputs outputs = core.drain(clock.getAsLong());
        while (!outputs.isEmpty()) {
            execute(outputs, clock.getAsLong());
            outputs = core.drain(clock.getAsLong());
        }
        compactIfDue();
        markIfDue(clock.getAsLong());
    }

    private void markIfDue(long nowNanos) {
        if (markDeadlineNanos.isPresent() && nowNanos - markDeadlineNanos.getAsLong() >= 0) {
            markDeadlineNanos = OptionalLong.empty();
            store.mark();
        }
    }

    private void compactIfDue() {
        long sinceSnapshot = core.appliedIndex() - core.snapshotIndex();
        boolean large = core.retainedBytes() >= MAX_RETAINED_BYTES;
        if (sinceSnapshot >= compactAfterEntries || (large && sinceSnapshot > 0)) {
            compact(large ? 0 : compactAfterEntries / 2);
        }
    }

    private void execute(Outputs outputs, long nowNanos) {
        outputs.halt().ifPresent(reason -> {
            throw new WigeongradeException(
                    ErrorKind.INTERNAL,
                    "log of this VM differs from the leader's (" + reason + "); set its folder aside");
        });
        outputs.hardState().ifPresent(store::saveHardState);
        outputs.immediate().forEach(outgoing -> transport.send(outgoing.to(), outgoing.message()));
        outputs.installed().ifPresent(this::install);
        persist(outputs.entries(), nowNanos);
        outputs.afterPersist().forEach(outgoing -> transport.send(outgoing.to(), outgoing.message()));
        outputs.committed().forEach(this::apply);
    }

    private void install(Snapshot snapshot) {
        store.saveSnapshot(snapshot, snapshot.position(), ImmutableList.of());
        machine.restore(snapshot.state().array());
    }

    private void persist(List<LogEntry> entries, long nowNanos) {
        if (entries.isEmpty()) {
            return;
        }
        store.append(entries);
        markDeadlineNanos = OptionalLong.of(nowNanos + MARK_AFTER_NANOS);
        LogEntry last = entries.get(entries.size() - 1);
        core.persisted(last.index(), last.term());
    }

    private void apply(LogEntry entry) {
        if (entry.kind() == EntryKind.COMMAND) {
            pending.applied(entry, machine.apply(entry.index(), entry.payload().array()));
        }
    }

    private void compact(long entriesToKeep) {
        Bytes state = Bytes.wrap(machine.snapshot());
        Snapshot taken = core.compact(state, entriesToKeep);
        store.saveSnapshot(taken, core.base(), core.entriesFromBase());
    }
}

package org.wigeongrade.nodes.log;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.WaitClock;
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
 * Executes the outputs of the Raft core, in the order that {@link Outputs} requires.
 *
 * <p>Invariant: a message that depends on stored state is sent only after that state is synced. Used by the writer
 * thread only.
 */
final class CoreOutputExecutor {
    private static final long SEAL_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_RETAINED_BYTES = 4L * 1024 * 1024;

    private final RaftCore core;
    private final LogStore store;
    private final LogTransport transport;
    private final ReplicatedStateMachine stateMachine;
    private final PendingCommands pending;
    private final long compactAfterEntries;
    private OptionalLong sealDeadlineNanos = OptionalLong.empty();

    CoreOutputExecutor(
            RaftCore core,
            LogStore store,
            LogTransport transport,
            ReplicatedStateMachine stateMachine,
            PendingCommands pending,
            long compactAfterEntries) {
        this.core = core;
        this.store = store;
        this.transport = transport;
        this.stateMachine = stateMachine;
        this.pending = pending;
        this.compactAfterEntries = compactAfterEntries;
    }

    void restore(Snapshot snapshot) {
        stateMachine.restore(snapshot.state().array());
    }

    /**
     * Executes all outputs that the core has now. Then takes a snapshot if one is due, and seals the last batch if that
     * is due.
     */
    void run(WaitClock waitClock) {
        Outputs outputs = core.drain(waitClock.nowNanos());
        while (!outputs.isEmpty()) {
            execute(outputs, waitClock.nowNanos());
            outputs = core.drain(waitClock.nowNanos());
        }
        compactIfDue();
        sealIfDue(waitClock.nowNanos());
    }

    private void sealIfDue(long nowNanos) {
        if (sealDeadlineNanos.isPresent() && nowNanos - sealDeadlineNanos.getAsLong() >= 0) {
            sealDeadlineNanos = OptionalLong.empty();
            store.sealLastBatch();
        }
    }

    private void compactIfDue() {
        long entriesSinceSnapshot = core.appliedIndex() - core.snapshotIndex();
        boolean retainsTooManyBytes = core.retainedBytes() >= MAX_RETAINED_BYTES;
        if (entriesSinceSnapshot >= compactAfterEntries || (retainsTooManyBytes && entriesSinceSnapshot > 0)) {
            compact(retainsTooManyBytes ? 0 : compactAfterEntries / 2);
        }
    }

    private void execute(Outputs outputs, long nowNanos) {
        outputs.halt().ifPresent(reason -> {
            throw new WigeongradeException(
                    ErrorKind.INTERNAL,
                    "the log of this VM differs from the leader's (" + reason + "); move its data folder away");
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
        stateMachine.restore(snapshot.state().array());
    }

    private void persist(List<LogEntry> entries, long nowNanos) {
        if (entries.isEmpty()) {
            return;
        }
        store.append(entries);
        sealDeadlineNanos = OptionalLong.of(nowNanos + SEAL_AFTER_NANOS);
        LogEntry last = entries.get(entries.size() - 1);
        core.onPersisted(last.index(), last.term());
    }

    private void apply(LogEntry entry) {
        if (entry.kind() == EntryKind.COMMAND) {
            pending.entryApplied(
                    entry, stateMachine.apply(entry.index(), entry.payload().array()));
        }
    }

    private void compact(long entriesToKeep) {
        Bytes state = Bytes.wrap(stateMachine.snapshot());
        Snapshot snapshot = core.compact(state, entriesToKeep);
        store.saveSnapshot(snapshot, core.base(), core.entriesFromBase());
    }
}

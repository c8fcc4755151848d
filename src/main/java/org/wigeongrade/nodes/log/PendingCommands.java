package org.wigeongrade.nodes.log;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * The commands that this replica proposed and whose outcome is not known yet.
 *
 * <p>Invariant: each future is completed exactly once, on the executor. Used by the writer thread only.
 */
final class PendingCommands {
    private record Pending(long term, CompletableFuture<byte[]> future) {}

    private final TreeMap<Long, Pending> byIndex = new TreeMap<>();
    private final List<Runnable> completions = new ArrayList<>();
    private final Executor callbacks;

    PendingCommands(Executor callbacks) {
        this.callbacks = callbacks;
    }

    void add(long index, long term, CompletableFuture<byte[]> future) {
        byIndex.put(index, new Pending(term, future));
    }

    void entryApplied(LogEntry entry, byte[] result) {
        Pending pending = byIndex.remove(entry.index());
        if (pending == null) {
            return;
        }
        if (pending.term() == entry.term()) {
            completions.add(() -> pending.future().complete(result));
        } else {
            fail(pending.future(), outcomeUnknown());
        }
    }

    void failAll() {
        List<Pending> unresolved = new ArrayList<>(byIndex.values());
        byIndex.clear();
        unresolved.forEach(pending -> fail(pending.future(), outcomeUnknown()));
    }

    void fail(CompletableFuture<byte[]> future, WigeongradeException failure) {
        completions.add(() -> future.completeExceptionally(failure));
    }

    /**
     * Completes the futures whose outcome was decided since the last call. Call this once other threads can see the
     * state that the outcomes refer to.
     */
    void runCompletions() {
        if (completions.isEmpty()) {
            return;
        }
        List<Runnable> due = new ArrayList<>(completions);
        completions.clear();
        callbacks.execute(() -> due.forEach(Runnable::run));
    }

    private static WigeongradeException outcomeUnknown() {
        return new WigeongradeException(
                ErrorKind.OUTCOME_UNKNOWN,
                "leadership was lost before the command's outcome was known; read the state");
    }
}

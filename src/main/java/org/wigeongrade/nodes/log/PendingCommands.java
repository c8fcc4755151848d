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
 * Commands proposed here whose fate is open.
 *
 * <p>Invariant: each future ends exactly once, on the executor. Used by the writer thread only.
 */
final class PendingCommands {
    private record Pending(long term, CompletableFuture<byte[]> future) {}

    private final TreeMap<Long, Pending> byIndex = new TreeMap<>();
    private final List<Runnable> decided = new ArrayList<>();
    private final Executor callbacks;

    PendingCommands(Executor callbacks) {
        this.callbacks = callbacks;
    }

    void add(long index, long term, CompletableFuture<byte[]> future) {
        byIndex.put(index, new Pending(term, future));
    }

    void applied(LogEntry entry, byte[] result) {
        Pending pending = byIndex.remove(entry.index());
        if (pending == null) {
            return;
        }
        if (pending.term() == entry.term()) {
            decided.add(() -> pending.future().complete(result));
        } else {
            fail(pending.future(), unknown());
        }
    }

    void failAll() {
        List<Pending> open = new ArrayList<>(byIndex.values());
        byIndex.clear();
        open.forEach(pending -> fail(pending.future(), unknown()));
    }

    void fail(CompletableFuture<byte[]> future, WigeongradeException failure) {
        decided.add(() -> future.completeExceptionally(failure));
    }

    /** Ends the futures decided since the last call; call it once what they tell can be seen from other threads. */
    void release() {
        if (decided.isEmpty()) {
            return;
        }
        List<Runnable> ready = new ArrayList<>(decided);
        decided.clear();
        callbacks.execute(() -> ready.forEach(Runnable::run));
    }

    private static WigeongradeException unknown() {
        return new WigeongradeException(
                ErrorKind.OUTCOME_UNKNOWN, "the lead was lost before the command's fate was known; read the state");
    }
}

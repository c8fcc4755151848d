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
            callbacks.execute(() -> pending.future().complete(result));
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
        callbacks.execute(() -> future.completeExceptionally(failure));
    }

    private static WigeongradeException unknown() {
        return new WigeongradeException(
                ErrorKind.OUTCOME_UNKNOWN, "the lead was lost before the command's fate was known; read the state");
    }
}

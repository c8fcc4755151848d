package org.wigeongrade.nodes.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wigeongrade.ids.NodeName;

/**
 * The interface of the replicated log to the rest of a control VM.
 *
 * <p>Invariant: a future returned by {@link #submit} completes normally only after the command is durable on a quorum
 * and applied here. Thread safe.
 */
public interface ReplicatedLog extends AutoCloseable {
    /**
     * Proposes a command and returns the state machine's result. Fails with {@link
     * org.wigeongrade.errors.WigeongradeException} of kind CONTROL_UNAVAILABLE if this VM is not the leader, and with
     * kind OUTCOME_UNKNOWN if it lost leadership before the command's outcome was known.
     */
    CompletableFuture<byte[]> submit(byte[] command);

    /** Returns whether this VM is the leader and its lease, confirmed by a quorum, is still valid. */
    boolean isLeaderWithLease();

    /** Returns the current leader, or empty if this VM knows none. */
    Optional<NodeName> leader();

    /** Returns the current term; it never decreases. */
    long term();

    /** Returns when this VM became leader of the current term, on the monotonic clock in nanoseconds. */
    long leaderSinceNanos();

    /** Returns the index of the last log entry that this VM applied. */
    long appliedIndex();

    @Override
    void close();
}

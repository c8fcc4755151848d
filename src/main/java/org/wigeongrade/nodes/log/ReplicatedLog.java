package org.wigeongrade.nodes.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wigeongrade.ids.NodeName;

/**
 * The replicated log as the rest of a control VM sees it.
 *
 * <p>Invariant: a future returned by {@link #submit} completes normally only after the command is durable on a quorum
 * and applied here. Thread safe.
 */
public interface ReplicatedLog extends AutoCloseable {
    /**
     * Proposes a command and gives the state machine's result. Fails with {@link
     * org.wigeongrade.errors.WigeongradeException} of kind CONTROL_UNAVAILABLE if this VM is not the leader, and with
     * kind OUTCOME_UNKNOWN if it lost the lead before the command's fate was known.
     */
    CompletableFuture<byte[]> submit(byte[] command);

    /** Returns whether this VM leads and a quorum has confirmed it within its own lease. */
    boolean leadsWithLease();

    /** Returns the current leader, if this VM knows one. */
    Optional<NodeName> leader();

    /** Returns the current term; it never decreases. */
    long term();

    /** Returns when this VM became leader of the current term, on the monotonic clock in nanoseconds. */
    long leaderSinceNanos();

    /** Returns the position of the last command applied here. */
    long appliedIndex();

    @Override
    void close();
}

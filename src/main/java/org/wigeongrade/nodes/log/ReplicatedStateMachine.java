package org.wigeongrade.nodes.log;

/**
 * What the replicated log applies its commands to.
 *
 * <p>Invariant: the result and the state after {@link #apply} depend on nothing but the commands so far. Called by one
 * thread at a time.
 */
public interface ReplicatedStateMachine {
    /** Applies the command at a log position and returns its encoded result. */
    byte[] apply(long index, byte[] command);

    /** Returns the whole state, encoded. */
    byte[] snapshot();

    /** Replaces the whole state by an encoded one. */
    void restore(byte[] snapshot);
}

package org.wigeongrade.nodes.log;

/**
 * The state machine that the replicated log applies its commands to.
 *
 * <p>Invariant: the result of {@link #apply} and the state after it depend only on the commands applied so far. Called
 * by one thread at a time.
 */
public interface ReplicatedStateMachine {
    /** Applies the command at a log index and returns its encoded result. */
    byte[] apply(long index, byte[] command);

    /** Returns the whole state, encoded. */
    byte[] snapshot();

    /** Replaces the whole state with an encoded one. */
    void restore(byte[] snapshot);
}

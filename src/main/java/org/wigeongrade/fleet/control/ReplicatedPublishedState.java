package org.wigeongrade.fleet.control;

import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.nodes.log.ReplicatedStateMachine;

/**
 * Applies the commands of the replicated log to the published state, and records the configurations that it goes
 * through. Called only on the log's thread.
 */
record ReplicatedPublishedState(PublishedStateMachine stateMachine, DocumentHistory history)
        implements ReplicatedStateMachine {
    @Override
    public byte[] apply(long index, byte[] command) {
        final byte[] result = stateMachine.apply(command);
        history.record(stateMachine.state());
        return result;
    }

    @Override
    public byte[] snapshot() {
        return stateMachine.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        stateMachine.restore(snapshot);
        history.record(stateMachine.state());
    }
}

package org.wigeongrade.fleet.control;

import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.nodes.log.ReplicatedStateMachine;

/** Applies the commands of the replicated log to the published state. Called only on the log's thread. */
record ReplicatedPublishedState(PublishedStateMachine stateMachine) implements ReplicatedStateMachine {
    @Override
    public byte[] apply(long index, byte[] command) {
        return stateMachine.apply(command);
    }

    @Override
    public byte[] snapshot() {
        return stateMachine.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        stateMachine.restore(snapshot);
    }
}

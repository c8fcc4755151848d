package org.wigeongrade.fleet.control;

import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.nodes.log.ReplicatedStateMachine;

/** Applies the commands of the replicated log to the published state. Called only on the log's thread. */
record ReplicatedPublishedState(PublishedStateMachine machine) implements ReplicatedStateMachine {
    @Override
    public byte[] apply(long index, byte[] command) {
        return machine.apply(command);
    }

    @Override
    public byte[] snapshot() {
        return machine.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        machine.restore(snapshot);
    }
}

package org.wigeongrade.nodes.control;

import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.ControlCodec;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.nodes.log.ReplicatedStateMachine;

/**
 * Applies the commands of the replicated log to the control state. Called by the writer thread of the log; the state is
 * thread safe.
 */
final class ControlStateMachine implements ReplicatedStateMachine {
    private final ControlState state;

    ControlStateMachine(ControlState state) {
        this.state = state;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        final CommandResult result = state.apply(index, ControlCodec.decodeCommand(command));
        return ControlCodec.encode(result);
    }

    @Override
    public byte[] snapshot() {
        return ControlCodec.encode(state.snapshot());
    }

    @Override
    public void restore(byte[] snapshot) {
        state.load(ControlCodec.decodeSnapshot(snapshot));
    }
}

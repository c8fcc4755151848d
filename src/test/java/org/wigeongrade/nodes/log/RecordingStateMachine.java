package org.wigeongrade.nodes.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A state machine that records its commands in order. Thread safe. */
final class RecordingStateMachine implements ReplicatedStateMachine {
    private final List<String> commands = new ArrayList<>();

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        commands.add(new String(command, StandardCharsets.UTF_8));
        return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized byte[] snapshot() {
        return String.join("\n", commands).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        commands.clear();
        new String(snapshot, StandardCharsets.UTF_8).lines().forEach(commands::add);
    }

    synchronized List<String> commands() {
        return new ArrayList<>(commands);
    }
}

package org.wigeongrade.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** Every order that endpoint VMs received and every change of a member's state, to trace a violation. Thread safe. */
final class OrderHistory {
    private record Entry(Instant time, String vm, String group, String text) {}

    private final List<Entry> entries = new CopyOnWriteArrayList<>();

    /** Records an order and the status of its answer. The fencing token names the term of the leader. */
    void recordOrder(String vm, JsonNode order, int status) {
        add(vm, order.path("group").asText(), order + " -> " + status);
    }

    void recordState(String vm, String group, String state) {
        add(vm, group, "is " + state);
    }

    private void add(String vm, String group, String text) {
        entries.add(new Entry(Instant.now(), vm, group, text));
    }

    /** Returns what concerns a VM or one of two groups, in order of time. */
    String of(String vm, String oldGroup, String newGroup) {
        return entries.stream()
                .filter(entry -> entry.vm().equals(vm)
                        || entry.group().equals(oldGroup)
                        || entry.group().equals(newGroup))
                .map(entry -> "    " + entry.time() + " " + entry.vm() + " " + entry.group() + " " + entry.text())
                .collect(Collectors.joining("\n", "\n", "\n"));
    }
}

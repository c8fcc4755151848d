package org.wigeongrade.standin;

import java.util.List;

/**
 * One line of a stand-in's journal. Absent fields are null.
 *
 * <p>{@code atNanos} is {@link System#nanoTime}, which all processes of one host share on Linux. {@code digest} is the
 * digest of the prompt or of the call's body; {@code operation} is the caller's name for the operation: the body's
 * {@code user} or {@code op} field. {@code members} are the
 * members of the group, or those that an order names. {@code inFlight} counts requests at the VM, this one included. Immutable; safe for
 * use from any thread.
 */
public record JournalEntry(
        long atNanos,
        String vm,
        long incarnation,
        JournalEvent event,
        String attempt,
        String digest,
        String operation,
        String key,
        String group,
        List<String> members,
        String modelVersion,
        String state,
        Long term,
        Long sequence,
        Integer inFlight,
        String detail) {
    public JournalEntry {
        members = members == null ? List.of() : List.copyOf(members);
    }
}

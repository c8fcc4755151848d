package org.wigeongrade.standin;

import java.util.List;

/**
 * One line of a stand-in's journal. Absent fields are null.
 *
 * <p>{@code atNanos} is {@link System#nanoTime}, which all processes of one host share on Linux. {@code attempt} is the
 * request's {@code X-Request-Id}; {@code key} is its idempotency key. {@code digest} is the digest of the prompt or of
 * the request body; {@code operation} is the caller's name for the operation, taken from the body's {@code user} or
 * {@code op} field. {@code members} are the members of the group, or those named in an order. {@code inFlight} counts
 * the requests at the VM, including this one. Immutable; safe for use from any thread.
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

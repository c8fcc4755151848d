package org.wigeongrade.proof;

/**
 * One line of a history.
 *
 * <p>{@code atNanos} is the time by the recorder's monotonic clock, which the journals of the stand-ins share. {@code
 * call} is the id that an invocation and its outcome have in common; {@code subject} is what the call is about: an
 * operation, a VM, a zone or a change. {@code value} is the value or code of the outcome. Immutable; safe for use from
 * any thread.
 */
record HistoryEvent(
        long atNanos,
        int client,
        long call,
        Phase phase,
        String function,
        String subject,
        String target,
        String value) {}

package org.wigeongrade.proof;

/**
 * One line of a history.
 *
 * <p>{@code atNanos} is the recorder's monotonic clock, which the journals of the stand-ins share. {@code call} joins an
 * invocation with its outcome; {@code subject} is what it is about: an operation, a VM, a zone, a change. {@code value}
 * is the outcome's value or code. Immutable; safe for use from any thread.
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

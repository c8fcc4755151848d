package org.wigeongrade.decisions.outcomes;

/**
 * The recent complete responses to requests with one prompt part, as one entry node counted them. Immutable; safe for
 * use from any thread.
 *
 * @param count responses within {@link CompletedParts#WINDOW_NANOS}, at most {@link CompletedParts#MAX_COUNT}
 * @param lastNanos when the last one was complete
 */
public record PartCompletions(int count, long lastNanos) {}

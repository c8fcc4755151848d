package org.wigeongrade.fleet.entry;

/** The part of a stream that comes from one attempt. Used on the event loop only. */
final class StreamPart {
    /** Whether the place of the attempt's events in the stream is known. */
    private boolean placed = true;

    /** Notes that the events follow others, so that their place is unknown until one names it. */
    void continueUnplaced() {
        placed = false;
    }

    void recordPlace() {
        placed = true;
    }

    boolean isPlaced() {
        return placed;
    }
}

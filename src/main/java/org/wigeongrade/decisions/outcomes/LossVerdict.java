package org.wigeongrade.decisions.outcomes;

import java.util.Locale;

/** What a leader concludes about an endpoint that entry nodes report as lost. Immutable. */
public enum LossVerdict {
    /** The incarnation was heard well after the loss, so that the connection failed for another reason. */
    HEARD_SINCE(false),
    /** The incarnation has ended, or a later one of its VM was heard. */
    INCARNATION_ENDED(true),
    /** The incarnation has been silent for so long that it has ended, or is cut off from every control node. */
    SILENT(true),
    /** A node that reached other endpoints reports it. A later heartbeat may still refute it. */
    LINKS_WORKED(true),
    /** Only nodes that may be cut off report it, and the incarnation may still be heard. */
    UNDECIDED(false);

    private final boolean counted;

    LossVerdict(boolean counted) {
        this.counted = counted;
    }

    /** Returns whether the loss counts as a crash for now. */
    public boolean isCounted() {
        return counted;
    }

    /** Returns the value for the log. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}

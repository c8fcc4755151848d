package org.wigeongrade.decisions.outcomes;

import java.util.Locale;

/** What a leader concludes about an endpoint that entry nodes report as lost. Immutable. */
public enum LossVerdict {
    /** The incarnation was heard well after the loss, so that the connection failed for another reason. */
    HEARD_SINCE(false, true),
    /** The incarnation has ended, or a later one of its VM was heard. */
    INCARNATION_ENDED(true, true),
    /** The incarnation has been silent for so long that it has ended, or is cut off from every control node. */
    SILENT(true, false),
    /** A node that reached other endpoints reports it. A later heartbeat may still refute it. */
    LINKS_WORKED(true, false),
    /** Only nodes that may be cut off report it, and the incarnation may still be heard. */
    UNDECIDED(false, false);

    private final boolean counted;
    private final boolean conclusive;

    LossVerdict(boolean counted, boolean conclusive) {
        this.counted = counted;
        this.conclusive = conclusive;
    }

    /** Returns whether the loss counts as a crash for now. */
    public boolean isCounted() {
        return counted;
    }

    /** Returns whether no later sign of life can change the verdict. */
    public boolean isConclusive() {
        return conclusive;
    }

    /** Returns the value for the log. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}

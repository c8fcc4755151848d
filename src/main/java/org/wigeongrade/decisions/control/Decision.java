package org.wigeongrade.decisions.control;

import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.ids.Revision;

/**
 * What was decided about an object: {@code what} happened, {@code why}, by whom and when. {@code index} is the log
 * position of the command. Immutable; safe for use from any thread.
 */
public record Decision(
        ObjectId object, String what, String why, String by, long atEpochMs, Revision revision, long index) {
    /** Returns whether the other decision said the same, at another time. */
    boolean repeats(Decision other) {
        return what.equals(other.what) && why.equals(other.why) && by.equals(other.by);
    }
}

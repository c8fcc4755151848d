package org.wigeongrade.decisions.control;

import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.ids.Revision;

/**
 * Decision about an object, kept to explain its state: {@code what} happened, {@code why}, {@code by} whom and when.
 * {@code index} is the log index of the command. Immutable; safe for use from any thread.
 */
public record Decision(
        ObjectId object, String what, String why, String by, long atEpochMs, Revision revision, long index) {
    /** Returns whether this decision equals the other one in all but object, time, revision and index. */
    boolean repeats(Decision other) {
        return what.equals(other.what) && why.equals(other.why) && by.equals(other.by);
    }
}

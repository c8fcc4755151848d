package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** What to do after one event of a streamed answer. Immutable; safe for use from any thread. */
public sealed interface StreamStep {
    /** Nothing goes to the caller. */
    record Nothing() implements StreamStep {}

    /** The event goes to the caller; {@code data} is one line without the {@code data: } prefix. */
    record Forward(String data) implements StreamStep {}

    /** The answer is whole; the events go to the caller and end its stream. */
    record Finish(List<String> data) implements StreamStep {
        public Finish {
            data = ImmutableList.copyOf(data);
        }
    }

    /** The attempt failed and its connection must be closed; {@code event} tells how. */
    record Fail(AttemptEvent event, String message) implements StreamStep {}
}

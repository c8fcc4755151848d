package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** What to do after one event of a streamed response. Immutable; safe for use from any thread. */
public sealed interface StreamAction {
    /** Nothing is sent to the caller. */
    record Nothing() implements StreamAction {}

    /** The event is sent to the caller; {@code data} is one line without the {@code data: } prefix. */
    record Forward(String data) implements StreamAction {}

    /** The response is complete; the events are sent to the caller and end its stream. */
    record Finish(List<String> data) implements StreamAction {
        public Finish {
            data = ImmutableList.copyOf(data);
        }
    }

    /** The attempt failed and its connection must be closed; {@code event} tells how. */
    record Fail(AttemptEvent event, String message) implements StreamAction {}
}

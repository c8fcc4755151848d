package org.wigeongrade.decisions.outcomes;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.PromptPartId;

/**
 * Remembers which prompt parts an entry node saw in requests that got a complete response; such a part does not crash
 * endpoints.
 *
 * <p>Invariant: holds at most {@link #MAX_PARTS} parts; the one that was recorded longest ago is forgotten first. Time
 * is a parameter, on the monotonic clock. Not thread safe.
 */
public final class CompletedParts {
    /** Responses that are counted for each part. */
    public static final int MAX_COUNT = 5;
    /** Time for which a response counts; longer than a loss does, so that it clears a part of the losses before it. */
    public static final long WINDOW_NANOS = CrashAttribution.LOSS_NANOS + TimeUnit.SECONDS.toNanos(10);
    /** Several times the parts in the requests of one node within the window. */
    static final int MAX_PARTS = 8_192;

    private final Map<PromptPartId, Deque<Long>> completedNanos = new LinkedHashMap<>();

    /** Records a response to a request with these parts that was complete at a time, which may be before the last one. */
    public void record(Set<PromptPartId> parts, long completeNanos) {
        for (final PromptPartId part : parts) {
            final Deque<Long> times =
                    Optional.ofNullable(completedNanos.remove(part)).orElseGet(ArrayDeque::new);
            times.addLast(completeNanos);
            if (times.size() > MAX_COUNT) {
                times.remove(Collections.min(times));
            }
            completedNanos.put(part, times);
        }
        while (completedNanos.size() > MAX_PARTS) {
            final Iterator<PromptPartId> oldest = completedNanos.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the recent responses to requests with this part, if there are any. */
    public Optional<PartCompletions> find(PromptPartId part, long nowNanos) {
        final Deque<Long> times = completedNanos.getOrDefault(part, new ArrayDeque<>());
        final int count = (int)
                times.stream().filter(nanos -> nowNanos - nanos <= WINDOW_NANOS).count();
        return count == 0 ? Optional.empty() : Optional.of(new PartCompletions(count, Collections.max(times)));
    }
}

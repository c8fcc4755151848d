package org.wigeongrade.decisions.outcomes;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Remembers the responses that ended with their connection, until it is known whether the endpoint was alive afterwards:
 * a crash ends a connection in the same way.
 *
 * <p>Invariants: a response is confirmed only by a view that is newer than the time within which a crash is noticed and
 * still lists the incarnation that sent it; it counts from its end, not from then. Holds at most {@link #MAX_RESPONSES};
 * beyond that, newer ones are ignored, so that the older ones reach their confirmation. Time is a parameter, on the
 * monotonic clock. Not thread safe.
 */
final class UnconfirmedCompletions {
    /** Several times the responses of one node within the time until they are confirmed. */
    static final int MAX_RESPONSES = 8_192;

    private record Ended(Set<PromptPartId> parts, long endedNanos) {}

    private final Map<VmIncarnation, Deque<Ended>> endedByVm = new HashMap<>();
    private int size;

    /** Records that a response to a request with these parts ended with its connection. */
    void record(VmIncarnation endpoint, Set<PromptPartId> parts, long nowNanos) {
        if (size < MAX_RESPONSES && !parts.isEmpty()) {
            endedByVm.computeIfAbsent(endpoint, unused -> new ArrayDeque<>()).addLast(new Ended(parts, nowNanos));
            size++;
        }
    }

    /** Forgets the responses of an endpoint that may have crashed. */
    void forget(VmIncarnation endpoint) {
        size -= Optional.ofNullable(endedByVm.remove(endpoint)).map(Deque::size).orElse(0);
    }

    /**
     * Moves the responses that ended before a time to {@code completed}, and forgets those of endpoints that are not
     * alive.
     */
    void confirm(Set<VmIncarnation> alive, long endedBeforeNanos, CompletedParts completed) {
        endedByVm.entrySet().removeIf(entry -> {
            final Deque<Ended> ended = entry.getValue();
            if (!alive.contains(entry.getKey())) {
                size -= ended.size();
                return true;
            }
            while (!ended.isEmpty() && ended.peekFirst().endedNanos() - endedBeforeNanos < 0) {
                final Ended confirmed = ended.removeFirst();
                size--;
                completed.record(confirmed.parts(), confirmed.endedNanos());
            }
            return ended.isEmpty();
        });
    }
}

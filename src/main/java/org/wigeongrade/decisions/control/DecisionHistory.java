package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import org.wigeongrade.decisions.config.ObjectId;

/**
 * The latest decisions about each object.
 *
 * <p>Invariant: keeps at most {@link #MAX_PER_OBJECT} decisions for each of the {@link #MAX_OBJECTS} objects with the
 * most recent decisions; a decision that repeats the previous one is not added. Not thread safe; guarded by {@link
 * ControlState}.
 */
final class DecisionHistory {
    static final int MAX_PER_OBJECT = 8;
    static final int MAX_OBJECTS = 2_048;

    private final LinkedHashMap<ObjectId, Deque<Decision>> byObject = new LinkedHashMap<>();

    void add(Decision decision) {
        final Deque<Decision> earlier = byObject.remove(decision.object());
        final Deque<Decision> decisions = earlier == null ? new ArrayDeque<>() : earlier;
        if (decisions.isEmpty() || !decision.repeats(decisions.getLast())) {
            decisions.addLast(decision);
        }
        if (decisions.size() > MAX_PER_OBJECT) {
            decisions.removeFirst();
        }
        byObject.put(decision.object(), decisions);
        if (byObject.size() > MAX_OBJECTS) {
            byObject.remove(byObject.keySet().iterator().next());
        }
    }

    /** Returns the stored decisions about an object, oldest first. */
    List<Decision> about(ObjectId object) {
        final Deque<Decision> decisions = byObject.get(object);
        return decisions == null ? ImmutableList.of() : ImmutableList.copyOf(decisions);
    }

    /** Returns all stored decisions; objects with more recent decisions come later. */
    List<Decision> all() {
        return byObject.values().stream().flatMap(Collection::stream).collect(ImmutableList.toImmutableList());
    }

    void restore(List<Decision> decisions) {
        byObject.clear();
        for (final Decision decision : decisions) {
            byObject.computeIfAbsent(decision.object(), id -> new ArrayDeque<>())
                    .addLast(decision);
        }
    }
}

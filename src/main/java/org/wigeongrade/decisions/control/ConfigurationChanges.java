package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.ids.Revision;

/**
 * The last {@link #MAX_CHANGES} accepted changes, used to tell an operator in a revision conflict what others changed.
 *
 * <p>Not thread safe; guarded by {@link ControlState}.
 */
final class ConfigurationChanges {
    static final int MAX_CHANGES = 256;
    private static final int MAX_LISTED_OBJECTS = 50;

    private final Deque<ConfigurationChange> changes = new ArrayDeque<>();

    void add(ConfigurationChange change) {
        changes.addLast(change);
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
    }

    /**
     * Returns an error message that names the operator of the last change and the objects that changed after {@code
     * base}.
     */
    String conflictMessage(Revision base, Revision current) {
        final String revisions = "the change was made to revision " + base + " and the current revision is " + current;
        final List<ConfigurationChange> since = since(base);
        if (since.isEmpty()) {
            return revisions + "; read the current revision and apply the change to it";
        }
        final ConfigurationChange last = changes.getLast();
        return revisions + ", made by " + last.operator() + " at " + Instant.ofEpochMilli(last.atEpochMs())
                + "; objects that differ: " + describeObjects(since) + (coversAllSince(base) ? "" : " and earlier ones")
                + "; read the current revision and apply the change to it";
    }

    private List<ConfigurationChange> since(Revision base) {
        return changes.stream()
                .filter(change -> change.revision().compareTo(base) > 0)
                .collect(ImmutableList.toImmutableList());
    }

    private boolean coversAllSince(Revision base) {
        return changes.getFirst().revision().compareTo(base.next()) <= 0;
    }

    private static String describeObjects(List<ConfigurationChange> since) {
        final Set<ObjectId> changed = since.stream()
                .flatMap(change -> change.changed().stream())
                .collect(Collectors.toCollection(TreeSet::new));
        final int hidden = changed.size() - MAX_LISTED_OBJECTS;
        return changed.stream()
                        .limit(MAX_LISTED_OBJECTS)
                        .map(ObjectId::toString)
                        .collect(Collectors.joining(", "))
                + (hidden > 0 ? " and " + hidden + " more" : "");
    }

    /** Returns the stored changes, oldest first. */
    List<ConfigurationChange> all() {
        return ImmutableList.copyOf(changes);
    }

    void restore(List<ConfigurationChange> restored) {
        changes.clear();
        changes.addAll(restored);
    }
}

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
 * The last {@link #MAX_CHANGES} accepted changes, to tell an operator what others changed.
 *
 * <p>Not thread safe; {@link ControlState} guards it.
 */
final class ConfigurationChanges {
    static final int MAX_CHANGES = 256;
    private static final int MAX_LISTED = 50;

    private final Deque<ConfigurationChange> changes = new ArrayDeque<>();

    void add(ConfigurationChange change) {
        changes.addLast(change);
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
    }

    /** Returns a message that tells who changed the configuration after {@code base} and which objects differ. */
    String conflict(Revision base, Revision current) {
        final String numbers = "the change was made to revision " + base + " and the current revision is " + current;
        final List<ConfigurationChange> since = since(base);
        if (since.isEmpty()) {
            return numbers + "; read the current revision and apply the change to it";
        }
        final ConfigurationChange last = changes.getLast();
        return numbers + ", made by " + last.operator() + " at " + Instant.ofEpochMilli(last.atEpochMs())
                + "; objects that differ: " + objects(since) + (reachesBackTo(base) ? "" : " and earlier ones")
                + "; read the current revision and apply the change to it";
    }

    private List<ConfigurationChange> since(Revision base) {
        return changes.stream()
                .filter(change -> change.revision().compareTo(base) > 0)
                .collect(ImmutableList.toImmutableList());
    }

    private boolean reachesBackTo(Revision base) {
        return changes.getFirst().revision().compareTo(base.next()) <= 0;
    }

    private static String objects(List<ConfigurationChange> since) {
        final Set<ObjectId> changed = since.stream()
                .flatMap(change -> change.changed().stream())
                .collect(Collectors.toCollection(TreeSet::new));
        final int hidden = changed.size() - MAX_LISTED;
        return changed.stream().limit(MAX_LISTED).map(ObjectId::toString).collect(Collectors.joining(", "))
                + (hidden > 0 ? " and " + hidden + " more" : "");
    }

    /** Returns the kept changes, oldest first. */
    List<ConfigurationChange> all() {
        return ImmutableList.copyOf(changes);
    }

    void restore(List<ConfigurationChange> restored) {
        changes.clear();
        changes.addAll(restored);
    }
}

package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The groups whose heads may serve.
 *
 * <p>Invariant: a VM, under any incarnation, is a member of at most one of them in each service. Immutable; safe for use from any thread.
 */
public final class RecordedGroups {
    static final RecordedGroups EMPTY = new RecordedGroups(ImmutableMap.of());

    /** Groups that are kept; several times those of the largest fleet. Only groups that were lost as a whole stay for long. */
    private static final int MAX_GROUPS = 4_096;

    /** In the order in which they were recorded. */
    private final ImmutableMap<RecordedGroup.Key, RecordedGroup> byKey;

    private RecordedGroups(ImmutableMap<RecordedGroup.Key, RecordedGroup> byKey) {
        this.byKey = byKey;
    }

    static RecordedGroups of(Iterable<RecordedGroup> groups) {
        return new RecordedGroups(Maps.uniqueIndex(groups, RecordedGroup::key));
    }

    public ImmutableCollection<RecordedGroup> all() {
        return byKey.values();
    }

    /**
     * Adds a group in place of earlier ones of its service that share a VM with it: the leader that formed it knew that these
     * had ended. Changes nothing if a later group shares a VM with it, because the leader that formed it has been replaced.
     */
    public RecordedGroups with(RecordedGroup group) {
        final RecordedGroup same = byKey.get(group.key());
        if (same != null && (same.opened() || !group.opened())) {
            return this;
        }
        final ImmutableList<RecordedGroup> sharing = byKey.values().stream()
                .filter(other ->
                        other.service().equals(group.service()) && !other.key().equals(group.key()))
                .filter(other -> other.members().stream()
                        .anyMatch(member -> group.hasMember(member.vm().vm())))
                .collect(ImmutableList.toImmutableList());
        if (sharing.stream().anyMatch(other -> other.epoch() >= group.epoch())) {
            return this;
        }
        final Map<RecordedGroup.Key, RecordedGroup> updated = new LinkedHashMap<>(byKey);
        sharing.forEach(other -> updated.remove(other.key()));
        updated.put(group.key(), group);
        if (updated.size() > MAX_GROUPS) {
            updated.remove(updated.keySet().iterator().next());
        }
        return new RecordedGroups(ImmutableMap.copyOf(updated));
    }

    /** Removes a group that has ended. */
    public RecordedGroups without(RecordedGroup.Key group) {
        return byKey.containsKey(group)
                ? new RecordedGroups(ImmutableMap.copyOf(Maps.filterKeys(byKey, key -> !key.equals(group))))
                : this;
    }
}

package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.ChangeId;
import org.wigeongrade.ids.Revision;

/**
 * The first results of the last {@link #MAX_RESULTS} changes. A change that is sent again after its response was lost
 * gets the same result and takes effect only once.
 *
 * <p>Not thread safe; guarded by {@link ControlState}.
 */
final class ChangeResults {
    static final int MAX_RESULTS = 4_096;

    private final LinkedHashMap<ChangeId, ChangeResult> results = new LinkedHashMap<>();

    /**
     * Returns the first result of a resent change, a refusal if the id was used for a different change, or empty if the
     * id is new.
     */
    Optional<CommandResult> find(ChangeId changeId, String contentDigest, Revision revision) {
        final ChangeResult stored = results.get(changeId);
        if (stored == null) {
            return Optional.empty();
        }
        if (stored.contentDigest().equals(contentDigest)) {
            return Optional.of(stored.result());
        }
        return Optional.of(new CommandResult.Refused(
                ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "change id '" + changeId + "' was used for a different change; use a new change id",
                revision));
    }

    void add(ChangeId changeId, String contentDigest, CommandResult result) {
        results.put(changeId, new ChangeResult(changeId, contentDigest, result));
        if (results.size() > MAX_RESULTS) {
            results.remove(results.keySet().iterator().next());
        }
    }

    /** Returns the stored results, oldest first. */
    List<ChangeResult> all() {
        return ImmutableList.copyOf(results.values());
    }

    void restore(List<ChangeResult> restored) {
        results.clear();
        restored.forEach(stored -> results.put(stored.changeId(), stored));
    }
}

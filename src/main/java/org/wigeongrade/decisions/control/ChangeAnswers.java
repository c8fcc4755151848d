package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.ChangeId;
import org.wigeongrade.ids.Revision;

/**
 * The results with which the last {@link #MAX_ANSWERS} changes were first answered. A change that is sent again after
 * its answer was lost gets the same result and takes effect only once.
 *
 * <p>Not thread safe; guarded by {@link ControlState}.
 */
final class ChangeAnswers {
    static final int MAX_ANSWERS = 4_096;

    private final LinkedHashMap<ChangeId, ChangeAnswer> answers = new LinkedHashMap<>();

    /**
     * Returns the first result of a resent change, a refusal if the id was used for a different change, or empty if the
     * id is new.
     */
    Optional<CommandResult> find(ChangeId changeId, String contentDigest, Revision revision) {
        final ChangeAnswer answer = answers.get(changeId);
        if (answer == null) {
            return Optional.empty();
        }
        if (answer.contentDigest().equals(contentDigest)) {
            return Optional.of(answer.result());
        }
        return Optional.of(new CommandResult.Refused(
                ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "change id '" + changeId + "' was used for a different change; use a new change id",
                revision));
    }

    void add(ChangeId changeId, String contentDigest, CommandResult result) {
        answers.put(changeId, new ChangeAnswer(changeId, contentDigest, result));
        if (answers.size() > MAX_ANSWERS) {
            answers.remove(answers.keySet().iterator().next());
        }
    }

    /** Returns the stored answers, oldest first. */
    List<ChangeAnswer> all() {
        return ImmutableList.copyOf(answers.values());
    }

    void restore(List<ChangeAnswer> restored) {
        answers.clear();
        restored.forEach(answer -> answers.put(answer.changeId(), answer));
    }
}

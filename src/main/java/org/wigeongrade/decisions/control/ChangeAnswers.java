package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.ChangeId;
import org.wigeongrade.ids.Revision;

/**
 * The first answers to the last {@link #MAX_ANSWERS} changes, so that a change that is sent again after a lost answer
 * gets the same answer and takes effect once.
 *
 * <p>Not thread safe; {@link ControlState} guards it.
 */
final class ChangeAnswers {
    static final int MAX_ANSWERS = 4_096;

    private final LinkedHashMap<ChangeId, ChangeAnswer> answers = new LinkedHashMap<>();

    /** Returns the answer to a resend, or empty if the change is new. Another change under the same id is refused. */
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

    /** Returns the kept answers, oldest first. */
    List<ChangeAnswer> all() {
        return ImmutableList.copyOf(answers.values());
    }

    void restore(List<ChangeAnswer> restored) {
        answers.clear();
        restored.forEach(answer -> answers.put(answer.changeId(), answer));
    }
}

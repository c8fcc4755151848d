package org.wigeongrade.decisions.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.Revision;

/** Result of applying a {@link Command}. Immutable; safe for use from any thread. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = CommandResult.Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = CommandResult.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = CommandResult.AlreadyAnswered.class, name = "already_answered")
})
public sealed interface CommandResult {
    /** The command took effect; {@code revision} is the configuration revision after it. */
    record Accepted(Revision revision) implements CommandResult {}

    /** The command was refused and had no effect; {@code message} says why and what to do about it. */
    record Refused(ErrorKind kind, String message, Revision revision) implements CommandResult {}

    /** The claimed request has already completed with {@code answer}. */
    record AlreadyAnswered(StoredResponse answer) implements CommandResult {}
}

package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;

/** Outcome of sending one operator call to one entry VM. Immutable; safe for use from any thread. */
sealed interface CallOutcome {
    /** The entry VM ran the call and returned a result. */
    record Succeeded(JsonNode result) implements CallOutcome {}

    /** The entry VM refused the call, and every other entry VM would refuse it too. */
    record Refused(OperatorError error) implements CallOutcome {}

    /** No connection to the entry VM could be opened, so the call was not run. */
    record Unreachable(String cause) implements CallOutcome {}

    /** The call was not run; another entry VM, or the same one later, may run it. */
    record NotRun(String cause, long retryAfterMs) implements CallOutcome {}

    /** The call may have run, but its result is not known. */
    record Unknown(String cause) implements CallOutcome {}
}

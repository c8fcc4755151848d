package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;

/** How one send of an operator's call to one entry VM ended. Immutable; safe for use from any thread. */
sealed interface CallOutcome {
    /** The entry VM answered with a result. */
    record Answered(JsonNode result) implements CallOutcome {}

    /** The entry VM refused the call, and another one would refuse it too. */
    record Refused(OperatorError error) implements CallOutcome {}

    /** No connection to the entry VM could be opened. */
    record Unreachable(String cause) implements CallOutcome {}

    /** The call was not run; another entry VM, or the same one later, may run it. */
    record NotRun(String cause, long retryAfterMs) implements CallOutcome {}

    /** The call may have been run and its answer is lost. */
    record Unknown(String cause) implements CallOutcome {}
}

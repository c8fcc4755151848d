package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.settings.Fault;

/** An error response of the operator HTTP API. Immutable; safe for use from any thread. */
record OperatorError(String code, String message, long retryAfterMs, List<Fault> faults) {
    private static final String DEFAULT_FIX = "see docs/ERRORS.md for the code";

    OperatorError {
        faults = ImmutableList.copyOf(faults);
    }

    /** Reads the {@code error} object of a response; a missing field gets a default value. */
    static OperatorError of(int httpStatus, JsonNode response) {
        final JsonNode error = response.path("error");
        final ImmutableList.Builder<Fault> faults = ImmutableList.builder();
        error.path("faults").forEach(fault -> faults.add(faultOf(fault)));
        return new OperatorError(
                error.path("code").asText("http_" + httpStatus),
                error.path("message").asText("the entry VM responded with HTTP status " + httpStatus),
                error.path("retry_after_ms").asLong(0),
                faults.build());
    }

    private static Fault faultOf(JsonNode fault) {
        return new Fault(
                fault.path("file").asText(""),
                fault.path("line").asInt(0),
                fault.path("object").asText(""),
                fault.path("message").asText(""));
    }

    /** Returns the error kind with this code; empty if this version does not know the code. */
    Optional<ErrorKind> kind() {
        return Arrays.stream(ErrorKind.values())
                .filter(kind -> kind.code().equals(code))
                .findFirst();
    }

    /** Returns this error with {@code mapping} applied to each fault. */
    OperatorError mapFaults(UnaryOperator<Fault> mapping) {
        return new OperatorError(
                code, message, retryAfterMs, faults.stream().map(mapping).toList());
    }

    CommandException toException() {
        return new CommandException(
                ExitCode.REFUSED,
                code,
                message,
                faults.stream().map(Fault::toLine).toList(),
                kind().map(ErrorKind::fix).orElse(DEFAULT_FIX));
    }
}

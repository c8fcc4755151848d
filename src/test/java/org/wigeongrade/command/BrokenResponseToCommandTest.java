package org.wigeongrade.command;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.responses.BrokenResponses;
import org.wigeongrade.responses.ScriptedEndpoint;
import org.wigeongrade.settings.NodeAddress;

/** Bytes that are no response, sent to the command line. */
final class BrokenResponseToCommandTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** Guards against a command that takes bytes that are no response for its result or for a refusal. */
    @ParameterizedTest
    @EnumSource(BrokenResponses.class)
    void brokenResponseLeavesTheOutcomeUnknown(BrokenResponses broken) throws Exception {
        final String withJson = broken.bytes().replace("abc", "{ }");
        try (ScriptedEndpoint entry = new ScriptedEndpoint(withJson, ScriptedEndpoint.End.CLOSED)) {
            final CallOutcome outcome = new EntryTransport()
                    .send(new NodeAddress("127.0.0.1", entry.port()), OperatorCall.get("status"), TIMEOUT);

            assertThat(outcome).isInstanceOf(CallOutcome.Unknown.class);
        }
    }
}

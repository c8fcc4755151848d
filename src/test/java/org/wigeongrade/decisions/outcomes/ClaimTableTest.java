package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.StoredResponse;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.ids.Revision;

final class ClaimTableTest {
    private static final long SEND_DEADLINE_MS = 5_000;
    private static final long LONGEST_RUN_MS = 10_000;
    private static final long OUTCOME_DEADLINE_MS = SEND_DEADLINE_MS + LONGEST_RUN_MS;

    private final ClaimTable table = new ClaimTable();

    /**
     * Cases of a second claim for a key: its request id, digest and time, the outcome of the first claim, and the
     * expected result.
     */
    static Stream<Arguments> secondClaims() {
        return Stream.of(
                Arguments.of("r1", "d1", SEND_DEADLINE_MS, null, "accepted"),
                Arguments.of("r1", "d1", SEND_DEADLINE_MS + 1, null, "request_in_progress"),
                Arguments.of("r2", "d1", 1, null, "request_in_progress"),
                Arguments.of("r2", "d1", OUTCOME_DEADLINE_MS, null, "request_in_progress"),
                Arguments.of("r2", "d1", OUTCOME_DEADLINE_MS + 1, null, "outcome_unknown"),
                Arguments.of("r1", "d1", OUTCOME_DEADLINE_MS + 1, null, "outcome_unknown"),
                Arguments.of("r2", "d2", 1, null, "idempotency_key_reused"),
                Arguments.of("r2", "d1", 1, RunStatus.UNKNOWN, "outcome_unknown"),
                Arguments.of("r1", "d1", 1, RunStatus.UNKNOWN, "outcome_unknown"),
                Arguments.of("r2", "d1", 1, RunStatus.COMPLETED, "answered"),
                Arguments.of("r2", "d2", 1, RunStatus.COMPLETED, "idempotency_key_reused"),
                Arguments.of("r2", "d1", 1, RunStatus.NOT_RUN, "accepted"),
                Arguments.of("r2", "d2", 1, RunStatus.NOT_RUN, "accepted"));
    }

    @ParameterizedTest
    @MethodSource("secondClaims")
    void secondClaimOfAKey(String request, String digest, long atMs, RunStatus outcome, String expected) {
        claim("carrick", "key", "r1", "d1", 0);
        if (outcome != null) {
            finish("key", "r1", outcome, 0);
        }

        assertThat(resultCode(claim("carrick", "key", request, digest, atMs))).isEqualTo(expected);
    }

    @Test
    void organisationsDoNotShareKeys() {
        claim("carrick", "key", "r1", "d1", 0);

        assertThat(resultCode(claim("lyle", "key", "r2", "d2", 0))).isEqualTo("accepted");
    }

    /**
     * Cases of finishing a claim: the request id, the reported outcome, an earlier outcome, the expected result, and
     * the result of the next claim.
     */
    static Stream<Arguments> finishes() {
        return Stream.of(
                Arguments.of("r2", RunStatus.NOT_RUN, null, "idempotency_key_reused", "request_in_progress"),
                Arguments.of("r1", RunStatus.NOT_RUN, RunStatus.UNKNOWN, "outcome_unknown", "outcome_unknown"),
                Arguments.of("r1", RunStatus.COMPLETED, RunStatus.UNKNOWN, "accepted", "answered"),
                Arguments.of("r1", RunStatus.NOT_RUN, RunStatus.COMPLETED, "accepted", "answered"),
                Arguments.of("r1", RunStatus.UNKNOWN, RunStatus.COMPLETED, "accepted", "answered"),
                Arguments.of("r1", RunStatus.COMPLETED, RunStatus.NOT_RUN, "not_found", "accepted"));
    }

    @ParameterizedTest
    @MethodSource("finishes")
    void finish(String request, RunStatus outcome, RunStatus earlier, String expected, String nextClaim) {
        claim("carrick", "key", "r1", "d1", 0);
        if (earlier != null) {
            finish("key", "r1", earlier, 0);
        }

        assertThat(resultCode(finish("key", request, outcome, 1))).isEqualTo(expected);
        assertThat(resultCode(claim("carrick", "key", "r3", "d1", 2))).isEqualTo(nextClaim);
    }

    @Test
    void claimIsKeptForItsRetentionAfterTheOutcomeDeadline() {
        claim("carrick", "key", "r1", "d1", 0);

        table.expire(OUTCOME_DEADLINE_MS + ClaimTable.RETENTION_MS - 1);
        assertThat(table.claims()).hasSize(1);
        table.expire(OUTCOME_DEADLINE_MS + ClaimTable.RETENTION_MS);
        assertThat(table.claims()).isEmpty();
    }

    @Test
    void dropsTheOldestResponsesButKeepsTheirClaims() {
        final int responses = 20;
        for (int i = 0; i < responses; i++) {
            claim("carrick", "key" + i, "r" + i, "d1", i);
            finish("key" + i, "r" + i, RunStatus.COMPLETED, i, new byte[1024 * 1024]);
        }

        assertThat(table.responseBytes()).isAtMost(ClaimTable.MAX_RESPONSE_BYTES);
        assertThat(resultCode(claim("carrick", "key0", "r99", "d1", 50))).isEqualTo("outcome_unknown");
        assertThat(resultCode(claim("carrick", "key19", "r99", "d1", 50))).isEqualTo("answered");
    }

    @Test
    void limitsTheClaimsOfOneOrganisation() {
        for (int i = 0; i < ClaimTable.MAX_CLAIMS_PER_ORGANISATION; i++) {
            claim("carrick", "key" + i, "r1", "d1", 0);
        }

        assertThat(resultCode(claim("carrick", "more", "r2", "d1", 0))).isEqualTo("organisation_limit");
        assertThat(resultCode(claim("lyle", "more", "r2", "d1", 0))).isEqualTo("accepted");
        table.expire(OUTCOME_DEADLINE_MS + ClaimTable.RETENTION_MS);
        assertThat(resultCode(claim("carrick", "more", "r2", "d1", 0))).isEqualTo("accepted");
    }

    @Test
    void quarantineEndsAtTheLaterDeadline() {
        final QuarantineTable quarantines = new QuarantineTable();
        quarantines.add("d1", "crashed 2 endpoints", 0, 100);
        quarantines.add("d1", "crashed 2 endpoints", 1, 50);

        assertThat(quarantines.find("d1", 99)).isPresent();
        assertThat(quarantines.find("d1", 100)).isEmpty();
        quarantines.expire(100);
        assertThat(quarantines.entries()).isEmpty();
    }

    private CommandResult claim(String organisation, String key, String request, String digest, long atMs) {
        final Command.ClaimRequest command = new Command.ClaimRequest(
                OrganisationName.of(organisation),
                key,
                digest,
                RequestId.of(request),
                NodeName.of("entry-1"),
                SEND_DEADLINE_MS,
                atMs);
        return table.claim(command, atMs, LONGEST_RUN_MS, Revision.NONE);
    }

    private CommandResult finish(String key, String request, RunStatus outcome, long atMs) {
        return finish(key, request, outcome, atMs, new byte[1]);
    }

    private CommandResult finish(String key, String request, RunStatus outcome, long atMs, byte[] body) {
        final StoredResponse response =
                outcome == RunStatus.COMPLETED ? new StoredResponse(200, "text/plain", body) : null;
        final Command.FinishClaim command = new Command.FinishClaim(
                OrganisationName.of("carrick"), key, RequestId.of(request), outcome, response, atMs);
        return table.finish(command, atMs, Revision.NONE);
    }

    private static String resultCode(CommandResult result) {
        if (result instanceof CommandResult.Refused refused) {
            return refused.kind().code();
        }
        return result instanceof CommandResult.AlreadyAnswered ? "answered" : "accepted";
    }

    @Test
    void refusalSaysHowToFixTheRequest() {
        claim("carrick", "key", "r1", "d1", 0);

        final CommandResult.Refused refused = (CommandResult.Refused) claim("carrick", "key", "r2", "d2", 0);

        assertThat(refused.message()).contains("Use a new idempotency key");
        assertThat(refused.kind()).isEqualTo(ErrorKind.IDEMPOTENCY_KEY_REUSED);
    }
}

package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import org.kohsuke.args4j.Option;

/**
 * A subcommand that changes the configuration and identifies the change by a change id. Not safe for use from several
 * threads.
 */
abstract class ChangeSubcommand extends EntrySubcommand {
    private static final String DEFAULT_OPERATOR = "operator";

    @Option(
            name = "--change-id",
            metaVar = "ID",
            usage = "id of the change; pass the id of an earlier call to send that change again (default: a new id)")
    private String changeId = "change-" + UUID.randomUUID();

    @Option(name = "--operator", metaVar = "NAME", usage = "who makes the change (default: the user name)")
    private String operator;

    @Option(name = "--wait", usage = "wait until the change is in force on every node, --timeout-ms at most")
    private boolean waitUntilInForce;

    /** Prints the result of a change and, with {@code --wait}, waits until its revision is in force on every node. */
    final ExitCode printAndAwait(CommandIo io, EntryClient client, JsonNode result) {
        print(io, result);
        if (waitUntilInForce) {
            new RevisionWaiter(client, timeoutMs(), io.err())
                    .awaitInForce(result.path("revision").asLong());
        }
        return ExitCode.OK;
    }

    /** Returns the query parameters of a change, and prints its change id to stderr so that it can be sent again. */
    final Map<String, String> changeQuery(CommandIo io) {
        io.err().println("wigeongrade: change id " + changeId);
        final Map<String, String> query = new LinkedHashMap<>();
        query.put("change_id", changeId);
        query.put("operator", operatorName(io));
        return query;
    }

    private String operatorName(CommandIo io) {
        return operator != null ? operator : io.environment().getOrDefault("USER", DEFAULT_OPERATOR);
    }
}

package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import org.kohsuke.args4j.Option;

/** A subcommand that changes the configuration under a change id. Not safe for use from several threads. */
abstract class ChangeSubcommand extends EntrySubcommand {
    private static final String UNNAMED_OPERATOR = "operator";

    @Option(
            name = "--change-id",
            metaVar = "ID",
            usage = "id of the change; give the id of an earlier call to send that change again (default: a new id)")
    private String changeId = "change-" + UUID.randomUUID();

    @Option(name = "--operator", metaVar = "NAME", usage = "who makes the change (default: the user name)")
    private String operator;

    @Option(name = "--wait", usage = "wait until the change is in force on every node, --timeout-ms at most")
    private boolean wait;

    /** Prints the answer to a change and, if asked to, waits until its revision is in force everywhere. */
    final ExitCode finish(CommandIo io, EntryClient client, JsonNode answer) {
        print(io, answer);
        if (wait) {
            new InForceWait(client, timeoutMs(), io.err())
                    .await(answer.path("revision").asLong());
        }
        return ExitCode.OK;
    }

    /** Returns the query of a change, and names the change id on stderr so that it can be sent again. */
    final Map<String, String> changeQuery(CommandIo io) {
        io.err().println("wigeongrade: change id " + changeId);
        final Map<String, String> query = new LinkedHashMap<>();
        query.put("change_id", changeId);
        query.put("operator", operatorName(io));
        return query;
    }

    private String operatorName(CommandIo io) {
        return operator != null ? operator : io.environment().getOrDefault("USER", UNNAMED_OPERATOR);
    }
}

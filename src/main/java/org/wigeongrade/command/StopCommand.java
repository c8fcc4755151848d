package org.wigeongrade.command;

import java.util.List;
import java.util.Map;
import org.wigeongrade.settings.NodeAddress;

/** Asks one node to stop gracefully. Not safe for use from several threads. */
final class StopCommand extends EntrySubcommand {
    @Override
    protected String helpText() {
        return """
                The node fails its health check, takes no new request, ends each request in flight and exits.
                SIGTERM does the same; a second SIGTERM ends the process at once.

                example: wigeongrade stop --entry 10.0.0.1:8001
                """;
    }

    @Override
    protected ExitCode run(CommandIo io) {
        final List<NodeAddress> entries = entryAddresses(io);
        if (entries.size() != 1) {
            throw CommandException.usage(
                    "stop takes the one node to stop, but " + entries.size() + " are named",
                    "name it with one --entry IP:PORT");
        }
        print(io, send(io, OperatorCall.post("", Map.of(), "stop")));
        return ExitCode.OK;
    }
}

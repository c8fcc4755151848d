package org.wigeongrade.command;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.wigeongrade.settings.NodeAddress;

/** Asks one node to stop gracefully. Not safe for use from several threads. */
final class StopCommand extends EntrySubcommand {
    private static final Duration POLL = Duration.ofMillis(500);

    @Option(name = "--wait", usage = "wait until the node has stopped, --timeout-ms at most")
    private boolean wait;

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
        if (wait) {
            awaitStopped(entries.get(0), io);
        }
        return ExitCode.OK;
    }

    private void awaitStopped(NodeAddress entry, CommandIo io) {
        final EntryTransport transport = new EntryTransport();
        final long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(timeoutMs()).toNanos();
        while (!(transport.send(entry, OperatorCall.health(), POLL) instanceof CallOutcome.Unreachable)) {
            if (System.nanoTime() >= deadlineNanos) {
                throw new CommandException(
                        ExitCode.PENDING,
                        "still_stopping",
                        "node at " + entry + " was told to stop and is still ending requests after " + timeoutMs()
                                + " ms",
                        "wait longer with --timeout-ms; its log tells the requests in flight");
            }
            io.err().println("wigeongrade: node at " + entry + " is ending its requests");
            Uninterruptibles.sleepUninterruptibly(POLL);
        }
        io.err().println("wigeongrade: node at " + entry + " has stopped");
    }
}

package org.wigeongrade.command;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.wigeongrade.settings.NodeAddress;

/** Asks one node to stop gracefully. Not safe for use from several threads. */
final class StopCommand extends EntrySubcommand {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    @Option(name = "--wait", usage = "wait until the node has stopped, --timeout-ms at most")
    private boolean waitUntilStopped;

    @Override
    protected String helpText() {
        return """
                The node fails its health check, refuses new requests, completes the requests in flight and exits.
                SIGTERM does the same; a second SIGTERM ends the process at once.

                example: wigeongrade stop --entry 10.0.0.1:8001
                """;
    }

    @Override
    protected ExitCode run(CommandIo io) {
        final List<NodeAddress> entries = entryAddresses(io);
        if (entries.size() != 1) {
            throw CommandException.usage(
                    "stop takes exactly one node, but " + entries.size() + " were given",
                    "pass it with one --entry IP:PORT");
        }
        print(io, send(io, OperatorCall.post("", Map.of(), "stop")));
        if (waitUntilStopped) {
            awaitStopped(entries.get(0), io);
        }
        return ExitCode.OK;
    }

    private void awaitStopped(NodeAddress entry, CommandIo io) {
        final EntryTransport transport = new EntryTransport();
        final long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(timeoutMs()).toNanos();
        while (!(transport.send(entry, OperatorCall.health(), POLL_INTERVAL) instanceof CallOutcome.Unreachable)) {
            if (System.nanoTime() >= deadlineNanos) {
                throw new CommandException(
                        ExitCode.PENDING,
                        "still_stopping",
                        "node at " + entry + " is stopping, but is still completing requests after " + timeoutMs()
                                + " ms",
                        "wait longer with --timeout-ms; its log shows the number of requests in flight");
            }
            io.err().println("wigeongrade: node at " + entry + " is completing its requests");
            Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL);
        }
        io.err().println("wigeongrade: node at " + entry + " has stopped");
    }
}

package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.wigeongrade.settings.NodeAddress;

/** A subcommand that calls entry VMs over HTTP. Not safe for use from several threads. */
abstract class EntrySubcommand extends Subcommand {
    /** Environment variable with the addresses of entry VMs, separated by commas. */
    static final String ENTRIES_ENVIRONMENT_VARIABLE = "WIGEONGRADE_ENTRIES";

    private static final String DEFAULT_ENTRY = "127.0.0.1:8001";

    @Option(
            name = "--entry",
            metaVar = "IP:PORT",
            usage = "entry VM to call; repeat it for others to try next (else " + ENTRIES_ENVIRONMENT_VARIABLE
                    + ", separated by commas, else " + DEFAULT_ENTRY + ")")
    private List<String> entries = new ArrayList<>();

    @Option(name = "--output", metaVar = "text|json", usage = "output format (default: text)")
    private OutputFormat outputFormat = OutputFormat.TEXT;

    @Option(
            name = "--timeout-ms",
            metaVar = "MS",
            usage = "longest time to retry or wait, in milliseconds (default: 15000)")
    private long timeoutMs = 15_000;

    final JsonNode send(CommandIo io, OperatorCall call) {
        return client(io).send(call);
    }

    final EntryClient client(CommandIo io) {
        return new EntryClient(entryAddresses(io), timeoutMs, io.err());
    }

    final void print(CommandIo io, JsonNode result) {
        io.out().print(outputFormat.render(result));
    }

    final long timeoutMs() {
        return timeoutMs;
    }

    final List<NodeAddress> entryAddresses(CommandIo io) {
        return entryOptions(io).stream().map(EntrySubcommand::parseAddress).toList();
    }

    private List<String> entryOptions(CommandIo io) {
        if (!entries.isEmpty()) {
            return entries;
        }
        final String variable = io.environment().getOrDefault(ENTRIES_ENVIRONMENT_VARIABLE, DEFAULT_ENTRY);
        return Splitter.on(',').trimResults().omitEmptyStrings().splitToList(variable);
    }

    private static NodeAddress parseAddress(String text) {
        try {
            return NodeAddress.of(text);
        } catch (IllegalArgumentException e) {
            throw CommandException.usage(e.getMessage(), "pass --entry IP:PORT");
        }
    }
}

package org.wigeongrade.command;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Publishes a complete declared set as the successor of a base revision. Not safe for use from several threads. */
final class ApplyCommand extends ChangeSubcommand {
    @Option(
            name = "--base-revision",
            required = true,
            metaVar = "N",
            usage = "revision that the change is based on, as 'get' prints it; 0 for the first")
    private long baseRevision;

    @Argument(required = true, metaVar = "FILE", usage = "TOML files that make up the complete declared set")
    private List<Path> files = new ArrayList<>();

    @Override
    protected String helpText() {
        return """
                The set replaces the whole configuration. If another change was published since the base revision,
                nothing changes and the error names that change: read it with 'get', merge, apply again.
                If a response is lost, the same change is sent to the next entry VM; it takes effect only once.

                example: wigeongrade apply --entry 10.0.0.1:8001 --entry 10.0.0.2:8001 --base-revision 4 pools.toml
                """;
    }

    @Override
    protected ExitCode run(CommandIo io) {
        final DeclaredFiles declared = DeclaredFiles.read(files);
        final Map<String, String> query = changeQuery(io);
        query.put("base_revision", Long.toString(baseRevision));
        final OperatorCall call = OperatorCall.post(declared.joinedText(), query, "apply");
        final EntryClient client = client(io);
        return printAndAwait(io, client, client.send(call, declared::withFileAndLine));
    }
}

package org.wigeongrade.command;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;

/** Lets an entry VM check a declared set without publishing it. Not safe for use from several threads. */
final class CheckCommand extends EntrySubcommand {
    @Argument(required = true, metaVar = "FILE", usage = "TOML files that make up the complete declared set")
    private List<Path> files = new ArrayList<>();

    @Override
    protected ExitCode run(CommandIo io) {
        final DeclaredFiles declared = DeclaredFiles.read(files);
        final OperatorCall call = OperatorCall.post(declared.joinedText(), Map.of(), "check");
        print(io, client(io).send(call, declared::withFileAndLine));
        return ExitCode.OK;
    }
}

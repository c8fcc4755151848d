package org.wigeongrade.command;

import java.util.Locale;
import org.kohsuke.args4j.Argument;

/** Prints the recorded decisions about one object, the newest last. Not safe for use from several threads. */
final class WhyCommand extends EntrySubcommand {
    /** Kinds of objects that decisions are recorded for. */
    enum ObjectKind {
        REQUEST,
        GROUP,
        VM,
        ENDPOINT,
        ORGANISATION,
        ZONE;

        String pathSegment() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    @Argument(
            index = 0,
            required = true,
            metaVar = "request|group|vm|endpoint|organisation|zone",
            usage = "kind of the object")
    private ObjectKind kind;

    @Argument(
            index = 1,
            required = true,
            metaVar = "ID",
            usage = "name of the object, or the request id from a response")
    private String id;

    @Override
    protected String helpText() {
        return """
                example: wigeongrade why request req-4711
                """;
    }

    @Override
    protected ExitCode run(CommandIo io) {
        print(io, send(io, OperatorCall.get("why", kind.pathSegment(), id)));
        return ExitCode.OK;
    }
}

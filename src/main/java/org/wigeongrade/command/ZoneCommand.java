package org.wigeongrade.command;

import java.util.Locale;
import org.kohsuke.args4j.Argument;

/** Takes an availability zone out of service or brings it back. Not safe for use from several threads. */
final class ZoneCommand extends ChangeSubcommand {
    /** Whether the zone is brought back into service or taken out of it. */
    enum ZoneAction {
        IN,
        OUT;

        String pathSegment() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    @Argument(index = 0, required = true, metaVar = "in|out", usage = "whether the zone may receive new work")
    private ZoneAction action;

    @Argument(index = 1, required = true, metaVar = "ZONE", usage = "name of the availability zone")
    private String zone;

    @Override
    protected String helpText() {
        return """
                A zone that is taken out receives no new work after a few seconds; requests in flight are completed.

                example: wigeongrade zone out scot-central-a
                """;
    }

    @Override
    protected ExitCode run(CommandIo io) {
        final OperatorCall call = OperatorCall.post("", changeQuery(io), "zones", zone, action.pathSegment());
        final EntryClient client = client(io);
        return printAndAwait(io, client, client.send(call));
    }
}

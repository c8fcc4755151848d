package org.wigeongrade.command;

/** Prints the revision in force on each node, the groups and the zones. Not safe for use from several threads. */
final class StatusCommand extends EntrySubcommand {
    @Override
    protected ExitCode run(CommandIo io) {
        print(io, send(io, OperatorCall.get("status")));
        return ExitCode.OK;
    }
}

package org.wigeongrade.command;

/** Prints which nodes have which revision in force, the groups and the zones. Not safe for use from several threads. */
final class StatusCommand extends EntrySubcommand {
    @Override
    protected ExitCode run(CommandIo io) {
        print(io, send(io, OperatorCall.get("status")));
        return ExitCode.OK;
    }
}

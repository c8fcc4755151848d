package org.wigeongrade.command;

/** Prints the configuration in force with its revision. Not safe for use from several threads. */
final class GetCommand extends EntrySubcommand {
    @Override
    protected ExitCode run(CommandIo io) {
        print(io, send(io, OperatorCall.get("configuration")));
        return ExitCode.OK;
    }
}

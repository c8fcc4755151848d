package org.wigeongrade.command;

import java.util.Optional;

/** Prints the version of the program. Not safe for use from several threads. */
final class VersionCommand extends Subcommand {
    private static final String UNPACKAGED_VERSION = "unpackaged";

    @Override
    protected ExitCode run(CommandIo io) {
        final Optional<String> version =
                Optional.ofNullable(VersionCommand.class.getPackage().getImplementationVersion());
        io.out().println("wigeongrade " + version.orElse(UNPACKAGED_VERSION));
        return ExitCode.OK;
    }
}

package org.wigeongrade.command;

import java.util.List;

/** Entry point of the {@code wigeongrade} program. Stateless; safe for use from any thread. */
public final class Main {
    private Main() {}

    /** Runs a subcommand and exits with its code. */
    public static void main(String[] args) {
        final ExitCode exitCode = CommandLine.run(List.of(args), CommandIo.ofProcess());
        System.out.flush();
        System.err.flush();
        System.exit(exitCode.value());
    }
}

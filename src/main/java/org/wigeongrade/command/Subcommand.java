package org.wigeongrade.command;

import java.util.List;
import org.kohsuke.args4j.Option;

/**
 * One subcommand: args4j sets the fields of an instance, then {@link #run} is called once.
 *
 * <p>Invariant: subclasses have a constructor without parameters, and each option has a usage text. Not safe for use
 * from several threads.
 */
public abstract class Subcommand {
    @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
    private boolean helpRequested;

    final boolean isHelpRequested() {
        return helpRequested;
    }

    /** Returns the objects whose args4j options this subcommand accepts: itself and any tool that it runs. */
    protected List<Object> optionBeans() {
        return List.of(this);
    }

    /** Returns additional lines for the help, such as examples. */
    protected String helpText() {
        return "";
    }

    /**
     * Runs the command.
     *
     * @throws CommandException with the exit code and how to resolve the error
     */
    protected abstract ExitCode run(CommandIo io);
}

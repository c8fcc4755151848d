package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Ends a command with an exit code and an error for stderr.
 *
 * <p>{@code code} is a snake_case code, {@code details} are further lines such as the faults of a file, and {@code fix}
 * says how to put things right. Immutable; safe for use from any thread.
 */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final String code;
    private final ImmutableList<String> details;
    private final String fix;

    public CommandException(ExitCode exitCode, String code, String message, String fix) {
        this(exitCode, code, message, List.of(), fix);
    }

    public CommandException(ExitCode exitCode, String code, String message, List<String> details, String fix) {
        super(message);
        this.exitCode = exitCode;
        this.code = code;
        this.details = ImmutableList.copyOf(details);
        this.fix = fix;
    }

    /** Creates a usage error. */
    public static CommandException usage(String message, String fix) {
        return new CommandException(ExitCode.USAGE, "usage", message, fix);
    }

    public ExitCode exitCode() {
        return exitCode;
    }

    public String code() {
        return code;
    }

    public ImmutableList<String> details() {
        return details;
    }

    public String fix() {
        return fix;
    }
}

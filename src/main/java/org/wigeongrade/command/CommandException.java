package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Ends a command with an exit code and an error for stderr.
 *
 * <p>{@code code} is a snake_case code, {@code details} are further lines such as the faults of a file, and {@code fix}
 * tells the operator how to resolve the error. Immutable; safe for use from any thread.
 */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final String code;
    private final ImmutableList<String> details;
    private final String fix;

    /** Creates an error without details. */
    public CommandException(ExitCode exitCode, String code, String message, String fix) {
        this(exitCode, code, message, List.of(), fix);
    }

    /** Creates an error with detail lines. */
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

    /** Returns the exit code of the process. */
    public ExitCode exitCode() {
        return exitCode;
    }

    /** Returns the snake_case code of the error. */
    public String code() {
        return code;
    }

    /** Returns further lines, such as the faults of a file. */
    public ImmutableList<String> details() {
        return details;
    }

    /** Returns how the operator can resolve the error. */
    public String fix() {
        return fix;
    }
}

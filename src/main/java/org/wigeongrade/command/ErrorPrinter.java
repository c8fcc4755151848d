package org.wigeongrade.command;

import com.google.common.base.Splitter;
import com.google.common.base.Throwables;
import java.io.PrintStream;
import java.util.List;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/** Prints an error with its code, its details and how to resolve it. Stateless; safe for use from any thread. */
final class ErrorPrinter {
    private ErrorPrinter() {}

    static ExitCode print(CommandException error, PrintStream err) {
        err.println("wigeongrade: error " + error.code() + ": " + error.getMessage());
        error.details().forEach(detail -> err.println("  " + detail));
        err.println("fix: " + error.fix());
        return error.exitCode();
    }

    static ExitCode print(WigeongradeException error, PrintStream err) {
        final List<String> lines = Splitter.on('\n').splitToList(error.getMessage());
        return print(
                new CommandException(
                        exitCodeOf(error.kind()),
                        error.kind().code(),
                        lines.get(0),
                        lines.subList(1, lines.size()),
                        error.kind().fix()),
                err);
    }

    /** Prints an exception that no command handles, with its stack trace. */
    static ExitCode printUnexpected(RuntimeException exception, PrintStream err) {
        err.print(Throwables.getStackTraceAsString(exception));
        return print(
                new CommandException(
                        ExitCode.INTERNAL,
                        ErrorKind.INTERNAL.code(),
                        "internal error: " + exception,
                        "report it with the stack trace above"),
                err);
    }

    private static ExitCode exitCodeOf(ErrorKind kind) {
        return switch (kind) {
            case INVALID_CONFIGURATION -> ExitCode.BAD_FILE;
            case INTERNAL -> ExitCode.INTERNAL;
            default -> ExitCode.REFUSED;
        };
    }
}

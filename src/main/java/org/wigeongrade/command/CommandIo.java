package org.wigeongrade.command;

import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.util.Map;

/**
 * Output streams and environment of a command: results go to {@code out}, errors and progress to {@code err}.
 * Immutable; the streams are safe for use from any thread.
 */
public record CommandIo(PrintStream out, PrintStream err, ImmutableMap<String, String> environment) {
    /** Returns the streams and environment of this process. */
    public static CommandIo ofProcess() {
        return new CommandIo(System.out, System.err, ImmutableMap.copyOf(System.getenv()));
    }

    /** Creates an instance with a copy of the environment. */
    public static CommandIo of(PrintStream out, PrintStream err, Map<String, String> environment) {
        return new CommandIo(out, err, ImmutableMap.copyOf(environment));
    }
}

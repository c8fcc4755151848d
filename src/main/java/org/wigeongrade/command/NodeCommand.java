package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.logging.LogLevel;
import org.wigeongrade.logging.LogSetup;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.settings.Fault;
import org.wigeongrade.settings.NodeSettings;
import org.wigeongrade.settings.SettingsReader;
import org.wigeongrade.settings.SettingsResult;

/** Runs one node until it is stopped. Not safe for use from several threads. */
final class NodeCommand extends Subcommand {
    private static final NodeFactory NODE_FACTORY = Node::new;
    private static final int SECOND_SIGNAL_EXIT_CODE = 143;
    private static final Duration HALT_LOG_TIMEOUT = Duration.ofMillis(200);

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "TOML file with the node's settings")
    private Path settingsFile;

    @Option(name = "--check-only", usage = "check the settings file and exit")
    private boolean checkOnly;

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "debug, info, warning or error (default: info)")
    private String logLevel = "info";

    @Option(name = "--log-file", metaVar = "FILE", usage = "append the log to this file (default: stderr)")
    private Path logFile;

    @Override
    protected String helpText() {
        return """
                All faults of the settings file are listed at once, and the node does not start if there are any.
                SIGTERM or SIGINT stops the node gracefully; a second one ends the process at once (exit code 143).
                """;
    }

    @Override
    protected ExitCode run(CommandIo io) {
        final NodeSettings settings = readSettings();
        if (checkOnly) {
            io.out().println("settings of node " + settings.name() + " are valid");
            return ExitCode.OK;
        }
        installLog();
        final EventLog events = new EventLog();
        final NodeProcess node = NODE_FACTORY.create(settings, events, new Metrics().withJvmMetrics());
        StopSignals.install(node::stop, () -> haltNow(settings, events));
        node.start();
        awaitStopped(node);
        return ExitCode.OK;
    }

    private NodeSettings readSettings() {
        final SettingsResult outcome = SettingsReader.tryRead(settingsFile);
        if (outcome instanceof SettingsResult.Valid valid) {
            return valid.settings();
        }
        final ImmutableList<Fault> faults = ((SettingsResult.Invalid) outcome).faults();
        throw new CommandException(
                ExitCode.BAD_FILE,
                ErrorKind.INVALID_CONFIGURATION.code(),
                faults.size() + " fault(s) in settings file " + settingsFile + "; nothing was started",
                faults.stream().map(Fault::toLine).toList(),
                "correct every listed line and start the node again; docs/operators/settings.md explains each key");
    }

    private void installLog() {
        try {
            LogSetup.install(LogLevel.of(logLevel), Optional.ofNullable(logFile));
        } catch (IllegalArgumentException e) {
            throw CommandException.usage(e.getMessage(), "pass --log-level info");
        } catch (UncheckedIOException e) {
            throw new CommandException(
                    ExitCode.BAD_FILE,
                    "bad_file",
                    e.getMessage() + ": " + e.getCause(),
                    "pass a file that can be written");
        }
    }

    /** Ends the process. The event is logged on another thread, so that a blocked log cannot prevent the exit. */
    private static void haltNow(NodeSettings settings, EventLog events) {
        final Thread logThread = new Thread(
                () -> events.write(LogEvent.NODE_STOP_CUT_SHORT, settings.name(), null, "a second signal"), "halt-log");
        logThread.start();
        Uninterruptibles.joinUninterruptibly(logThread, HALT_LOG_TIMEOUT);
        Runtime.getRuntime().halt(SECOND_SIGNAL_EXIT_CODE);
    }

    private static void awaitStopped(NodeProcess node) {
        try {
            node.awaitStopped();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.wigeongrade.command;

import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.control.ControlNode;
import org.wigeongrade.fleet.entry.EntryNode;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.logging.LogLevel;
import org.wigeongrade.logging.LogSetup;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.platform.ConfigurationReader;
import org.wigeongrade.platform.ControlApi;
import org.wigeongrade.platform.PlatformCallerCodec;
import org.wigeongrade.platform.PlatformIdentityCodec;
import org.wigeongrade.platform.PlatformOrderCodec;
import org.wigeongrade.settings.FleetSettings;
import org.wigeongrade.settings.FleetSettingsReader;

/**
 * Runs one node of a fleet whose nodes find each other through seed addresses. Not safe for use from several threads.
 */
final class FleetNodeCommand extends Subcommand {
    private static final int SECOND_SIGNAL_EXIT_CODE = 143;

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "TOML file with the node's settings")
    private Path settingsFile;

    @Option(name = "--check-only", usage = "check the settings file and exit")
    private boolean checkOnly;

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "debug, info, warning or error (default: info)")
    private String logLevel = "info";

    @Override
    protected String helpText() {
        return """
                Logs are written to standard output. All faults of the settings file are listed at once.
                SIGTERM or SIGINT stops the node gracefully, SIGHUP reloads the seeds from the settings file.
                """;
    }

    @Override
    protected ExitCode run(CommandIo io) {
        StopSignals.holdSighup();
        final FleetSettings settings = FleetSettingsReader.read(settingsFile);
        if (checkOnly) {
            io.out().println("settings of node " + settings.name() + " are valid");
            return ExitCode.OK;
        }
        LogSetup.installOnStandardOutput(LogLevel.of(logLevel));
        final EventLog events = new EventLog();
        try {
            switch (settings.role()) {
                case ENTRY -> runEntry(settings, events);
                case CONTROL -> runControl(settings, events);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }

    private void runEntry(FleetSettings settings, EventLog events) throws InterruptedException {
        final EntryNode node = new EntryNode(
                settings, new ConfigurationReader(), new PlatformCallerCodec(), events, new Metrics().withJvmMetrics());
        StopSignals.install(node::stop, FleetNodeCommand::haltNow);
        StopSignals.onSighup(() -> reloadSettings(events).ifPresent(node::reload));
        node.start();
        node.awaitStopped();
    }

    private void runControl(FleetSettings settings, EventLog events) throws InterruptedException {
        final ControlNode node = new ControlNode(
                settings,
                new ConfigurationReader(),
                new PlatformOrderCodec(),
                new PlatformIdentityCodec(),
                events,
                new Metrics().withJvmMetrics());
        StopSignals.install(node::stop, FleetNodeCommand::haltNow);
        StopSignals.onSighup(() -> reloadSettings(events).ifPresent(node::reload));
        node.start(ControlApi::new);
        node.awaitStopped();
    }

    private Optional<FleetSettings> reloadSettings(EventLog events) {
        try {
            final FleetSettings settings = FleetSettingsReader.read(settingsFile);
            events.write(LogEvent.SETTINGS_RELOADED, settings.name(), settings.seeds());
            return Optional.of(settings);
        } catch (WigeongradeException e) {
            events.write(LogEvent.SETTINGS_REFUSED, settingsFile, e.getMessage());
            return Optional.empty();
        }
    }

    private static void haltNow() {
        Runtime.getRuntime().halt(SECOND_SIGNAL_EXIT_CODE);
    }
}

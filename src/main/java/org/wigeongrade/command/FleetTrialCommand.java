package org.wigeongrade.command;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.kohsuke.args4j.Option;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.control.ControlNode;
import org.wigeongrade.fleet.entry.EntryNode;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogLevel;
import org.wigeongrade.logging.LogSetup;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.platform.ConfigurationReader;
import org.wigeongrade.platform.ControlApi;
import org.wigeongrade.platform.PlatformCallerCodec;
import org.wigeongrade.platform.PlatformIdentityCodec;
import org.wigeongrade.platform.PlatformOrderCodec;
import org.wigeongrade.platform.TrialTraffic;
import org.wigeongrade.settings.FleetRole;
import org.wigeongrade.settings.FleetSettings;
import org.wigeongrade.settings.FleetSettingsReader;
import org.wigeongrade.settings.NodeAddress;

/**
 * Starts one control and one entry node in this process, on loopback ports, sends them a few messages, and exits after
 * a few seconds. The build runs it to record which classes a node loads. Not safe for use from several threads.
 */
final class FleetTrialCommand extends Subcommand {
    private static final System.Logger LOGGER = System.getLogger(FleetTrialCommand.class.getName());
    private static final String CONTROL_IP = "127.0.0.1";
    /** A second loopback address, since both nodes use the same internal port numbers. */
    private static final String ENTRY_IP = "127.0.0.2";

    private static final String ENDPOINT_IP = "127.0.0.3";

    private static final int PORTS_PER_NODE = 3;
    /** Lower end of the range in which free ports are searched, below the usual range of outgoing connections. */
    private static final int FIRST_PORT_MIN = 20_000;

    private static final int FIRST_PORT_MAX = 30_000;
    private static final int MAX_PORT_SEARCHES = 200;

    @Option(
            name = "--first-port",
            metaVar = "PORT",
            usage = "first of six consecutive free loopback ports (default: any free ones)")
    private int firstPort;

    @Option(name = "--seconds", metaVar = "N", usage = "how long the nodes run (default: 3)")
    private int seconds = 3;

    @Override
    protected ExitCode run(CommandIo io) {
        LogSetup.installOnStandardOutput(LogLevel.INFO);
        if (firstPort == 0) {
            firstPort = findFreePorts();
        }
        final EventLog events = new EventLog();
        final ControlNode control = new ControlNode(
                settings(FleetRole.CONTROL),
                new ConfigurationReader(),
                new PlatformOrderCodec(),
                new PlatformIdentityCodec(),
                events,
                new Metrics().withJvmMetrics());
        control.start(ControlApi::new);
        final EntryNode entry = new EntryNode(
                settings(FleetRole.ENTRY),
                new ConfigurationReader(),
                new PlatformCallerCodec(),
                events,
                new Metrics().withJvmMetrics());
        entry.start();
        sendTraffic();
        Uninterruptibles.sleepUninterruptibly(seconds, TimeUnit.SECONDS);
        control.close();
        return ExitCode.OK;
    }

    /** Parses the settings from text, so that the classes that read settings are recorded as well. */
    private FleetSettings settings(FleetRole role) {
        final boolean isControl = role == FleetRole.CONTROL;
        final String text = """
                name = "trial"
                role = "%s"
                availability_zone = "trial"
                ip = "%s"
                first_internal_port = %d
                seeds = ["%s:%d"]
                bootstrap = true
                losses_borne = 0
                """.formatted(role, isControl ? CONTROL_IP : ENTRY_IP, firstPort, CONTROL_IP, controlPort())
                + (isControl ? controlSettings() : entrySettings());
        return FleetSettingsReader.parse(Path.of("trial"), text);
    }

    private String controlSettings() {
        return """
                control_listen = "%s:%d"
                data_folder = "%s"
                """.formatted(CONTROL_IP, controlPort(), temporaryFolder());
    }

    private String entrySettings() {
        return """
                caller_listen = "%s:%d"
                readiness_listen = "%s:%d"
                """.formatted(ENTRY_IP, callerPort(), ENTRY_IP, readinessPort());
    }

    private int controlPort() {
        return firstPort + PORTS_PER_NODE;
    }

    private int callerPort() {
        return controlPort() + 1;
    }

    private int readinessPort() {
        return controlPort() + 2;
    }

    private void sendTraffic() {
        final InetSocketAddress endpoint = new NodeAddress(ENDPOINT_IP, callerPort()).toSocketAddress();
        try (TrialTraffic traffic = new TrialTraffic(
                new NodeAddress(CONTROL_IP, controlPort()).toSocketAddress(),
                new NodeAddress(ENTRY_IP, callerPort()).toSocketAddress(),
                new NodeAddress(ENTRY_IP, readinessPort()).toSocketAddress(),
                endpoint)) {
            if (!traffic.run()) {
                LOGGER.log(Level.WARNING, "the trial served no request; the classes of the request path are missing");
            }
        }
    }

    private static int findFreePorts() {
        return new SplittableRandom()
                .ints(MAX_PORT_SEARCHES, FIRST_PORT_MIN, FIRST_PORT_MAX)
                .filter(FleetTrialCommand::areFree)
                .findFirst()
                .orElseThrow(() -> new WigeongradeException(
                        ErrorKind.INTERNAL,
                        "no six free consecutive ports found; pass the first one with --first-port"));
    }

    private static boolean areFree(int first) {
        return IntStream.range(first, first + 2 * PORTS_PER_NODE).allMatch(FleetTrialCommand::isFree);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static Path temporaryFolder() {
        try {
            return Files.createTempDirectory("wigeongrade-trial");
        } catch (IOException e) {
            throw new UncheckedIOException("a temporary folder cannot be created", e);
        }
    }
}

package org.wigeongrade.settings;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;

/** Reads a fleet node's settings file and reports all its faults at once. Stateless; safe for use from any thread. */
public final class FleetSettingsReader {
    private static final int MAX_FIRST_PORT = 65_532;
    private static final int MAX_PORT = 65_535;
    /** Offset of the metrics port from the first internal port, if the settings do not name it. */
    private static final int METRICS_PORT_OFFSET = 2;

    private FleetSettingsReader() {}

    /**
     * Reads and checks a settings file.
     *
     * @throws WigeongradeException with {@link ErrorKind#INVALID_CONFIGURATION} and every fault, one per line
     */
    public static FleetSettings read(Path file) {
        try {
            return parse(file, Files.readString(file));
        } catch (IOException e) {
            throw new WigeongradeException(
                    ErrorKind.INVALID_CONFIGURATION, "settings file " + file + " cannot be read: " + e, e);
        }
    }

    /** Parses the text of a settings file; throws as {@link #read} does. */
    public static FleetSettings parse(Path file, String text) {
        final TomlParseResult toml = Toml.parse(text);
        final List<Fault> faults = new ArrayList<>();
        toml.errors()
                .forEach(error -> faults.add(
                        new Fault(file.toString(), error.position().line(), "TOML syntax", error.getMessage())));
        if (!faults.isEmpty()) {
            throw invalid(file, faults);
        }
        final TomlTableReader table = new TomlTableReader(file.toString(), "", 1, toml, faults::add);
        final Optional<FleetSettings> settings = readNode(table);
        table.reportUnknownKeys();
        if (!faults.isEmpty()) {
            throw invalid(file, faults);
        }
        return settings.orElseThrow();
    }

    private static WigeongradeException invalid(Path file, List<Fault> faults) {
        return new WigeongradeException(
                ErrorKind.INVALID_CONFIGURATION,
                faults.size() + " fault(s) in settings file " + file + "; nothing was started\n"
                        + faults.stream().map(Fault::toLine).collect(Collectors.joining("\n")));
    }

    private static Optional<FleetSettings> readNode(TomlTableReader table) {
        final Optional<NodeName> name = table.requiredConverted("name", "the name of the node", NodeName::of);
        final Optional<FleetRole> role = table.requiredConverted("role", "entry or control", FleetRole::of);
        final Optional<AvailabilityZone> zone =
                table.requiredConverted("availability_zone", "the availability zone of this VM", AvailabilityZone::of);
        final Optional<String> ip = table.requiredConverted("ip", "the IP address of this VM", text -> text);
        final Optional<String> bindIp = table.optionalConverted("bind_ip", text -> text);
        final Optional<String> endpointGatewayIp = table.optionalConverted("endpoint_gateway_ip", text -> text);
        final Optional<NodeAddress> callerListen = table.optionalConverted("caller_listen", NodeAddress::of);
        final Optional<NodeAddress> readinessListen = table.optionalConverted("readiness_listen", NodeAddress::of);
        final Optional<NodeAddress> controlListen = table.optionalConverted("control_listen", NodeAddress::of);
        final Optional<Path> dataFolder = table.optionalConverted("data_folder", Path::of);
        final Optional<Long> firstPort = table.integer("first_internal_port", 1, MAX_FIRST_PORT);
        final Optional<Long> metricsPort = table.integer("metrics_port", 1, MAX_PORT);
        final List<NodeAddress> seeds = readSeeds(table);
        final boolean bootstrap = table.bool("bootstrap").orElse(false);
        final Map<FleetKey, Double> numbers = readNumbers(table);
        if (firstPort.isEmpty()) {
            table.report("first_internal_port", "is missing; expected the first of four free ports");
        }
        if (seeds.isEmpty()) {
            table.report("seeds", "is empty; expected the control address of at least one control VM");
        }
        role.ifPresent(value -> checkKeysOfRole(value, table));
        if (name.isEmpty() || role.isEmpty() || zone.isEmpty() || ip.isEmpty() || firstPort.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new FleetSettings(
                name.get(),
                role.get(),
                zone.get(),
                ip.get(),
                bindIp.orElse(ip.get()),
                endpointGatewayIp,
                callerListen,
                readinessListen,
                controlListen,
                firstPort.get().intValue(),
                metricsPort.orElse(firstPort.get() + METRICS_PORT_OFFSET).intValue(),
                seeds,
                bootstrap,
                dataFolder,
                numbers));
    }

    private static void checkKeysOfRole(FleetRole role, TomlTableReader table) {
        final ImmutableList<String> requiredKeys = switch (role) {
            case ENTRY -> ImmutableList.of("caller_listen", "readiness_listen");
            case CONTROL -> ImmutableList.of("control_listen", "data_folder");
        };
        requiredKeys.stream()
                .filter(key -> !table.has(key))
                .forEach(key -> table.report(key, "is missing; a node of role " + role + " needs it"));
    }

    private static List<NodeAddress> readSeeds(TomlTableReader table) {
        final List<NodeAddress> seeds = new ArrayList<>();
        for (final String text : table.strings("seeds")) {
            try {
                seeds.add(NodeAddress.of(text));
            } catch (IllegalArgumentException e) {
                table.report("seeds", e.getMessage());
            }
        }
        return seeds;
    }

    private static Map<FleetKey, Double> readNumbers(TomlTableReader table) {
        final Map<FleetKey, Double> numbers = new EnumMap<>(FleetKey.class);
        for (final FleetKey key : FleetKey.values()) {
            table.number(key.key(), key.min(), key.max()).ifPresent(value -> numbers.put(key, value));
        }
        return numbers;
    }
}

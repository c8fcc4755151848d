package org.wigeongrade.settings;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;

/** Reads a node's settings file and reports all its faults at once. Stateless; safe for use from any thread. */
public final class SettingsReader {
    private static final String ZONE_EXPECTED = "the availability zone of this VM, for example \"scot-central-a\"";
    private static final String NAME_EXPECTED = "the name of the node, for example \"entry-1\"";

    private SettingsReader() {}

    /**
     * Reads and checks a settings file.
     *
     * @throws WigeongradeException with {@link ErrorKind#INVALID_CONFIGURATION} and every fault, one per line
     */
    public static NodeSettings read(Path file) {
        return tryRead(file).orElseThrow();
    }

    /** Reads and checks a settings file; a file that cannot be read is reported as a fault. */
    public static SettingsResult tryRead(Path file) {
        try {
            return parse(file, Files.readString(file));
        } catch (IOException e) {
            final Fault fault = new Fault(file.toString(), 0, "file", "cannot be read: " + e);
            return new SettingsResult.Invalid(ImmutableList.of(fault));
        }
    }

    /** Parses the text of a settings file. A relative data folder is resolved against the folder of {@code file}. */
    public static SettingsResult parse(Path file, String text) {
        final TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            return new SettingsResult.Invalid(syntaxFaults(file, toml));
        }
        final List<Fault> faults = new ArrayList<>();
        final TomlTableReader table = new TomlTableReader(file.toString(), "", 1, toml, faults::add);
        final Optional<NodeSettings> settings = readNode(file, table);
        table.reportUnknownKeys();
        if (faults.isEmpty()) {
            settings.ifPresent(value -> SettingsChecks.check(value, table));
        }
        return faults.isEmpty() && settings.isPresent()
                ? new SettingsResult.Valid(settings.get())
                : new SettingsResult.Invalid(ImmutableList.sortedCopyOf(Comparator.comparingInt(Fault::line), faults));
    }

    private static ImmutableList<Fault> syntaxFaults(Path file, TomlParseResult toml) {
        return toml.errors().stream()
                .map(error -> new Fault(file.toString(), error.position().line(), "TOML syntax", error.getMessage()))
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<NodeSettings> readNode(Path file, TomlTableReader table) {
        final Optional<NodeName> name = table.requiredConverted("name", NAME_EXPECTED, NodeName::of);
        final Optional<AvailabilityZone> zone =
                table.requiredConverted("availability_zone", ZONE_EXPECTED, AvailabilityZone::of);
        final Optional<NodeAddress> listen = requiredAddress(table, "listen");
        final Optional<NodeAddress> peerListen = requiredAddress(table, "peer_listen");
        final Optional<NodeAddress> logListen = table.optionalConverted("log_listen", NodeAddress::of);
        final Optional<Path> dataFolder = table.optionalConverted(
                "data_folder", text -> file.toAbsolutePath().resolveSibling(text));
        final Optional<String> endpointGatewayIp = table.optionalConverted("endpoint_gateway_ip", text -> text);
        final NodeLimits limits = readLimits(table);
        final List<PeerSettings> peers = readPeers(table);
        if (name.isEmpty() || zone.isEmpty() || listen.isEmpty() || peerListen.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new NodeSettings(
                name.get(),
                zone.get(),
                listen.get(),
                peerListen.get(),
                logListen,
                dataFolder,
                endpointGatewayIp,
                limits,
                peers));
    }

    private static Optional<NodeAddress> requiredAddress(TomlTableReader table, String key) {
        return table.requiredConverted(key, NodeAddress.EXPECTED, NodeAddress::of);
    }

    private static NodeLimits readLimits(TomlTableReader table) {
        final Map<LimitKey, Long> configured = new EnumMap<>(LimitKey.class);
        for (final LimitKey key : LimitKey.values()) {
            table.integer(key.key(), key.min(), key.max()).ifPresent(value -> configured.put(key, value));
        }
        return NodeLimits.of(configured);
    }

    private static List<PeerSettings> readPeers(TomlTableReader table) {
        final List<PeerSettings> peers = new ArrayList<>();
        if (!table.has("peer")) {
            table.report("peer", "is missing; expected one [[peer]] table for each node, including this one");
        }
        for (final TomlTableReader peer : table.tables("peer")) {
            readPeer(peer).ifPresent(peers::add);
            peer.reportUnknownKeys();
        }
        return peers;
    }

    private static Optional<PeerSettings> readPeer(TomlTableReader peer) {
        final Optional<NodeName> name = peer.requiredConverted("name", NAME_EXPECTED, NodeName::of);
        final Optional<NodeAddress> peerAddress = requiredAddress(peer, "peer_address");
        final Optional<NodeAddress> logAddress = peer.optionalConverted("log_address", NodeAddress::of);
        if (name.isEmpty() || peerAddress.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new PeerSettings(name.get(), peerAddress.get(), logAddress));
    }
}

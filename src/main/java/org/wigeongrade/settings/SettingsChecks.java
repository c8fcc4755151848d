package org.wigeongrade.settings;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Checks that span several keys of a settings file.
 *
 * <p>Each check is one method. It reports each fault at the key that an operator would change first, and expects that
 * every single key has passed its own checks. Stateless; safe for use from any thread.
 */
final class SettingsChecks {
    private static final ImmutableSet<Integer> CONTROL_VM_COUNTS = ImmutableSet.of(1, 3, 5);

    private SettingsChecks() {}

    static void check(NodeSettings settings, TomlTableReader table) {
        checkOwnNameIsPeer(settings, table);
        checkOwnAddressesMatchPeerTable(settings, table);
        checkControlKeysAreConsistent(settings, table);
        checkControlVmCount(settings, table);
        checkPeerNamesAreUnique(settings, table);
        checkAddressesAreUnique(settings, table);
        checkTimeoutsAreConsistent(settings.limits(), table);
    }

    private static void checkOwnNameIsPeer(NodeSettings settings, TomlTableReader table) {
        if (settings.peer(settings.name()).isPresent()) {
            return;
        }
        final List<String> names =
                settings.peers().stream().map(peer -> peer.name().value()).toList();
        table.report("name", settings.name() + " has no [[peer]] table; the fleet's nodes are " + names);
    }

    private static void checkOwnAddressesMatchPeerTable(NodeSettings settings, TomlTableReader table) {
        final Optional<PeerSettings> own = settings.peer(settings.name());
        if (own.isEmpty()) {
            return;
        }
        if (!matchesListenAddress(own.get().peerAddress(), settings.peerListen())) {
            table.report(
                    "peer_listen",
                    mismatchMessage(
                            settings.peerListen(), "peer_address", own.get().peerAddress()));
        }
        if (own.get().logAddress().isPresent() != settings.logListen().isPresent()) {
            table.report("log_listen", "must be set here and as log_address in this node's [[peer]], or in neither");
            return;
        }
        if (settings.isControl()
                && !matchesListenAddress(
                        own.get().logAddress().get(), settings.logListen().get())) {
            table.report(
                    "log_listen",
                    mismatchMessage(
                            settings.logListen().get(),
                            "log_address",
                            own.get().logAddress().get()));
        }
    }

    private static boolean matchesListenAddress(NodeAddress connectAddress, NodeAddress listenAddress) {
        return listenAddress.isWildcard()
                ? connectAddress.port() == listenAddress.port()
                : connectAddress.equals(listenAddress);
    }

    private static String mismatchMessage(NodeAddress listenAddress, String peerKey, NodeAddress connectAddress) {
        return "is " + listenAddress + ", but the other nodes connect to " + connectAddress + " (" + peerKey
                + " of this node's [[peer]]); expected the same address";
    }

    private static void checkControlKeysAreConsistent(NodeSettings settings, TomlTableReader table) {
        if (settings.logListen().isPresent() && settings.dataFolder().isEmpty()) {
            table.report("data_folder", "is missing; expected a folder, since log_listen makes this a control VM");
        }
        if (settings.logListen().isEmpty() && settings.dataFolder().isPresent()) {
            table.report("data_folder", "is set without log_listen; expected it on control VMs only");
        }
    }

    private static void checkControlVmCount(NodeSettings settings, TomlTableReader table) {
        final int count = settings.controlPeers().size();
        if (!CONTROL_VM_COUNTS.contains(count)) {
            table.report("peer", "has " + count + " nodes with log_address; expected 1, 3 or 5 control VMs");
        }
    }

    private static void checkPeerNamesAreUnique(NodeSettings settings, TomlTableReader table) {
        final Map<NodeName, Integer> counts = new HashMap<>();
        settings.peers().forEach(peer -> counts.merge(peer.name(), 1, Integer::sum));
        counts.forEach((name, count) -> {
            if (count > 1) {
                table.report("peer", "has " + count + " tables with name " + name + "; expected one for each node");
            }
        });
    }

    private static void checkAddressesAreUnique(NodeSettings settings, TomlTableReader table) {
        final Map<NodeAddress, Integer> counts = new HashMap<>();
        for (final PeerSettings peer : settings.peers()) {
            counts.merge(peer.peerAddress(), 1, Integer::sum);
            peer.logAddress().ifPresent(address -> counts.merge(address, 1, Integer::sum));
        }
        counts.forEach((address, count) -> {
            if (count > 1) {
                table.report("peer", "uses " + address + " " + count + " times; expected one use of each address");
            }
        });
        if (counts.containsKey(settings.listen())) {
            table.report(
                    "listen", settings.listen() + " is also a peer_address or log_address; expected a port of its own");
        }
    }

    private static void checkTimeoutsAreConsistent(NodeLimits limits, TomlTableReader table) {
        checkAtMost(limits, table, LimitKey.PULL_INTERVAL_MS, LimitKey.VIEW_LEASE_MS, 2);
        checkAtMost(limits, table, LimitKey.CONNECT_TIMEOUT_MS, LimitKey.REQUEST_TIMEOUT_MS, 1);
        checkAtMost(limits, table, LimitKey.STALL_TIMEOUT_MS, LimitKey.REQUEST_TIMEOUT_MS, 1);
        checkAtMost(limits, table, LimitKey.BODY_READ_TIMEOUT_MS, LimitKey.REQUEST_TIMEOUT_MS, 1);
    }

    private static void checkAtMost(
            NodeLimits limits, TomlTableReader table, LimitKey smallerKey, LimitKey largerKey, int divisor) {
        final long max = limits.value(largerKey) / divisor;
        if (limits.value(smallerKey) > max) {
            final String bound = divisor == 1 ? largerKey.key() : largerKey.key() + " / " + divisor;
            table.report(
                    smallerKey.key(),
                    "is " + limits.value(smallerKey) + "; expected at most " + bound + ", which is " + max);
        }
    }
}

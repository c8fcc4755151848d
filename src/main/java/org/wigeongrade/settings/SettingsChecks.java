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
 * <p>Each check is one method, reports each fault at the key that the reader would change first, and expects keys that
 * passed their own checks. Stateless; safe for use from any thread.
 */
final class SettingsChecks {
    private static final ImmutableSet<Integer> CONTROL_VM_COUNTS = ImmutableSet.of(1, 3, 5);

    private SettingsChecks() {}

    static void check(NodeSettings settings, CheckedTable table) {
        ownNameIsAPeer(settings, table);
        ownAddressesMatch(settings, table);
        controlKeysStandTogether(settings, table);
        controlCountIsOdd(settings, table);
        peerNamesDiffer(settings, table);
        addressesDiffer(settings, table);
        timeoutsFitTogether(settings.limits(), table);
    }

    private static void ownNameIsAPeer(NodeSettings settings, CheckedTable table) {
        if (settings.peer(settings.name()).isPresent()) {
            return;
        }
        final List<String> names =
                settings.peers().stream().map(peer -> peer.name().value()).toList();
        table.report("name", settings.name() + " has no [[peer]] table; the fleet's nodes are " + names);
    }

    private static void ownAddressesMatch(NodeSettings settings, CheckedTable table) {
        final Optional<PeerSettings> own = settings.peer(settings.name());
        if (own.isEmpty()) {
            return;
        }
        if (!reaches(own.get().peerAddress(), settings.peerListen())) {
            table.report(
                    "peer_listen",
                    mismatch(settings.peerListen(), "peer_address", own.get().peerAddress()));
        }
        if (own.get().logAddress().isPresent() != settings.logListen().isPresent()) {
            table.report("log_listen", "must stand here and as log_address of this node's [[peer]], or in neither");
            return;
        }
        if (settings.isControl()
                && !reaches(own.get().logAddress().get(), settings.logListen().get())) {
            table.report(
                    "log_listen",
                    mismatch(
                            settings.logListen().get(),
                            "log_address",
                            own.get().logAddress().get()));
        }
    }

    private static boolean reaches(NodeAddress dialled, NodeAddress listened) {
        return listened.isWildcard() ? dialled.port() == listened.port() : dialled.equals(listened);
    }

    private static String mismatch(NodeAddress listened, String peerKey, NodeAddress dialled) {
        return "is " + listened + ", but the other nodes dial " + dialled + " (" + peerKey
                + " of this node's [[peer]]); expected the same address";
    }

    private static void controlKeysStandTogether(NodeSettings settings, CheckedTable table) {
        if (settings.logListen().isPresent() && settings.dataFolder().isEmpty()) {
            table.report("data_folder", "is missing; expected a folder, since log_listen makes this a control VM");
        }
        if (settings.logListen().isEmpty() && settings.dataFolder().isPresent()) {
            table.report("data_folder", "stands on a VM without log_listen; expected it on control VMs only");
        }
    }

    private static void controlCountIsOdd(NodeSettings settings, CheckedTable table) {
        final int count = settings.controlPeers().size();
        if (!CONTROL_VM_COUNTS.contains(count)) {
            table.report("peer", "has " + count + " nodes with log_address; expected 1, 3 or 5 control VMs");
        }
    }

    private static void peerNamesDiffer(NodeSettings settings, CheckedTable table) {
        final Map<NodeName, Integer> counts = new HashMap<>();
        settings.peers().forEach(peer -> counts.merge(peer.name(), 1, Integer::sum));
        counts.forEach((name, count) -> {
            if (count > 1) {
                table.report("peer", "has " + count + " tables with name " + name + "; expected one for each node");
            }
        });
    }

    private static void addressesDiffer(NodeSettings settings, CheckedTable table) {
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
            table.report("listen", settings.listen() + " is also a peer_address or log_address; expected its own port");
        }
    }

    private static void timeoutsFitTogether(NodeLimits limits, CheckedTable table) {
        atMost(limits, table, LimitKey.PULL_INTERVAL_MS, LimitKey.VIEW_LEASE_MS, 2);
        atMost(limits, table, LimitKey.CONNECT_TIMEOUT_MS, LimitKey.REQUEST_TIMEOUT_MS, 1);
        atMost(limits, table, LimitKey.STALL_TIMEOUT_MS, LimitKey.REQUEST_TIMEOUT_MS, 1);
        atMost(limits, table, LimitKey.BODY_READ_TIMEOUT_MS, LimitKey.REQUEST_TIMEOUT_MS, 1);
    }

    private static void atMost(NodeLimits limits, CheckedTable table, LimitKey small, LimitKey large, int factor) {
        final long max = limits.value(large) / factor;
        if (limits.value(small) > max) {
            final String bound = factor == 1 ? large.key() : large.key() + " / " + factor;
            table.report(
                    small.key(), "is " + limits.value(small) + "; expected at most " + bound + ", which is " + max);
        }
    }
}

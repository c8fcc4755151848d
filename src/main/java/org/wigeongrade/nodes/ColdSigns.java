package org.wigeongrade.nodes;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.entry.EntryRole;

/**
 * Spreads signs that an endpoint turned cold: this VM drops its slots at once and tells every other entry VM directly.
 *
 * <p>Thread safe: holds no state; calls to peers run on the given workers.
 */
public final class ColdSigns {
    private static final int TIMEOUT_MS = 500;

    private final EntryRole entry;
    private final ImmutableMap<NodeName, PeerClient> peers;
    private final ExecutorService workers;
    private final Runnable pullSoon;
    private final EventLog events;

    public ColdSigns(
            EntryRole entry,
            Map<NodeName, PeerClient> peers,
            ExecutorService workers,
            Runnable pullSoon,
            EventLog events) {
        this.entry = entry;
        this.peers = ImmutableMap.copyOf(peers);
        this.workers = workers;
        this.pullSoon = pullSoon;
        this.events = events;
    }

    /** Reacts to a sign that this VM saw itself. */
    public void seen(EndpointId endpoint, String cause, int coldSlots) {
        entry.coldSign(endpoint);
        pullSoon.run();
        events.write(LogEvent.ENDPOINT_COLD, endpoint, cause, coldSlots);
        peers.forEach((name, peer) -> workers.execute(() -> tell(name, peer, endpoint)));
    }

    private void tell(NodeName name, PeerClient peer, EndpointId endpoint) {
        try {
            peer.call(TIMEOUT_MS, client -> {
                client.coldSign(endpoint.value(), entry.self().value());
                return name;
            });
        } catch (WigeongradeException failure) {
            events.write(LogEvent.PEER_CALL_FAILED, "coldSign", name, failure.getMessage());
        }
    }
}

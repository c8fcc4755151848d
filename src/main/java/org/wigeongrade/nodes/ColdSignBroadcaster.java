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
 * Broadcasts signs that an endpoint turned cold: this VM drops its slots at that endpoint at once and notifies every
 * other entry VM directly.
 *
 * <p>Thread safe: holds no state; the calls to peers run on the given executor.
 */
public final class ColdSignBroadcaster {
    private static final int TIMEOUT_MS = 500;

    private final EntryRole entry;
    private final ImmutableMap<NodeName, PeerClient> peers;
    private final ExecutorService workers;
    private final Runnable requestPull;
    private final EventLog events;

    public ColdSignBroadcaster(
            EntryRole entry,
            Map<NodeName, PeerClient> peers,
            ExecutorService workers,
            Runnable requestPull,
            EventLog events) {
        this.entry = entry;
        this.peers = ImmutableMap.copyOf(peers);
        this.workers = workers;
        this.requestPull = requestPull;
        this.events = events;
    }

    /**
     * Handles a cold sign that this VM itself observed: drops its slots at the endpoint, requests a pull and notifies
     * the peers.
     */
    public void report(EndpointId endpoint, String cause, int coldSlots) {
        entry.coldSign(endpoint);
        requestPull.run();
        events.write(LogEvent.ENDPOINT_COLD, endpoint, cause, coldSlots);
        peers.forEach((name, peer) -> workers.execute(() -> notifyPeer(name, peer, endpoint)));
    }

    private void notifyPeer(NodeName name, PeerClient peer, EndpointId endpoint) {
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

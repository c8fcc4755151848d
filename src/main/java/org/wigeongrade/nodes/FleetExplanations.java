package org.wigeongrade.nodes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.control.ControlRole;
import org.wigeongrade.nodes.control.StatusReport;
import org.wigeongrade.nodes.entry.EntryRole;

/**
 * Answers operators' questions about the status of the fleet and the reasons for decisions. Asks the leader for the
 * status and every process for decisions.
 *
 * <p>Thread safe: holds no state of its own. Its methods block while other processes answer.
 */
public final class FleetExplanations {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int TIMEOUT_MS = 1_500;

    private final EntryRole entry;
    private final Optional<ControlRole> control;
    private final LeaderClient leaderClient;
    private final ImmutableMap<NodeName, PeerClient> peers;
    private final LocalExplanations local;

    /** {@code peers} are all other processes of the fleet. */
    public FleetExplanations(
            EntryRole entry,
            Optional<ControlRole> control,
            LeaderClient leaderClient,
            Map<NodeName, PeerClient> peers) {
        this.entry = entry;
        this.control = control;
        this.leaderClient = leaderClient;
        this.peers = ImmutableMap.copyOf(peers);
        this.local = new LocalExplanations(entry, control);
    }

    /** Returns the leader's status report as JSON; throws with kind CONTROL_UNAVAILABLE if no leader answers. */
    public String status() {
        final NodeName leader = leaderClient
                .leader()
                .orElseThrow(() -> new WigeongradeException(
                        ErrorKind.CONTROL_UNAVAILABLE, "this entry VM does not know the leader of the control VMs"));
        if (leader.equals(entry.self()) && control.isPresent()) {
            return new String(StatusReport.toJson(control.get()), StandardCharsets.UTF_8);
        }
        return decodeUtf8(peers.get(leader).call(TIMEOUT_MS, client -> client.status()));
    }

    /** Returns {@code {"kind","id","decisions":[...],"unreachable":[...]}}, with the decisions in order of time. */
    public String explain(String kind, String id) {
        final List<JsonNode> decisions = new ArrayList<>();
        final ObjectNode explanation = MAPPER.createObjectNode();
        explanation.put("kind", kind);
        explanation.put("id", id);
        parse(new String(local.explain(kind, id), StandardCharsets.UTF_8)).forEach(decisions::add);
        final ArrayNode unreachable = MAPPER.createArrayNode();
        for (final Map.Entry<NodeName, PeerClient> peer : peers.entrySet()) {
            try {
                final ByteBuffer json = peer.getValue().call(TIMEOUT_MS, client -> client.explain(kind, id));
                parse(decodeUtf8(json)).forEach(decisions::add);
            } catch (WigeongradeException failure) {
                unreachable.add(peer.getKey().value());
            }
        }
        decisions.sort(Comparator.comparing(decision -> decision.path("at").asText()));
        final ArrayNode ordered = explanation.putArray("decisions");
        decisions.stream().distinct().forEach(ordered::add);
        explanation.set("unreachable", unreachable);
        return explanation.toString();
    }

    private static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException failure) {
            throw new UncheckedIOException("another process answered with malformed JSON", failure);
        }
    }

    private static String decodeUtf8(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }
}

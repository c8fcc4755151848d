package org.wigeongrade.nodes.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.nodes.thrift.EndpointRecord;

/** Builds the status report of the fleet as the leader sees it. Stateless; safe for use from any thread. */
public final class StatusReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StatusReport() {}

    /** Returns the status report as JSON; throws with kind CONTROL_UNAVAILABLE if this VM is not the leader. */
    public static byte[] toJson(ControlRole control) {
        final LeaderState leaderState = control.leaderState()
                .orElseThrow(() -> new WigeongradeException(
                        ErrorKind.CONTROL_UNAVAILABLE,
                        "this VM is not the leader; leader: "
                                + control.leader().map(Object::toString).orElse("none")));
        final long nowNanos = control.nowNanos();
        final FleetSnapshot fleet = leaderState.snapshot(control.state(), nowNanos);
        final ObjectNode status = MAPPER.createObjectNode();
        status.put("revision", control.state().revision().value());
        status.put("leader", control.leader().map(Object::toString).orElse(""));
        status.put("term", leaderState.term());
        status.put("log_index", control.state().appliedIndex());
        addNodes(status.putArray("nodes"), leaderState, nowNanos);
        final ArrayNode zones = status.putArray("availability_zones");
        control.state()
                .zoneStates()
                .forEach((zone, state) ->
                        zones.addObject().put("name", zone.value()).put("state", state.label()));
        final ArrayNode groups = status.putArray("groups");
        control.state().groups().forEach(group -> addGroup(groups, group, fleet));
        leaderState
                .holds()
                .forEach((group, reason) -> groups.addObject()
                        .put("name", group.value())
                        .put("state", "not formed")
                        .put("reason", reason.describe("")));
        final ArrayNode endpoints = status.putArray("endpoints");
        fleet.endpoints().forEach(endpoint -> addEndpoint(endpoints, endpoint, fleet, nowNanos));
        final ArrayNode vms = status.putArray("vms");
        leaderState.announcements().live(nowNanos).forEach(announcement -> addVm(vms, announcement));
        return status.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void addNodes(ArrayNode nodes, LeaderState leaderState, long nowNanos) {
        for (final EntryStatus entry : leaderState.entryStatuses()) {
            nodes.addObject()
                    .put("name", entry.node().value())
                    .put("availability_zone", entry.zone().value())
                    .put("revision_in_force", entry.revisionInForce().value())
                    .put("lease_left_ms", remainingMs(entry.leaseEndsNanos(), nowNanos))
                    .put("seen_ms_ago", TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.seenAtNanos()))
                    .put("stopping", entry.stopping());
        }
    }

    private static void addGroup(ArrayNode groups, FormedGroup group, FleetSnapshot fleet) {
        final String name = group.group().value();
        final boolean isServing = fleet.servingDeadlinesNanos().containsKey(name);
        groups.addObject()
                .put("name", name)
                .put("pool", group.pool().value())
                .put("availability_zone", group.zone().value())
                .put("fabric_domain", group.fabricDomain().value())
                .put("model_version", group.modelVersion().value())
                .put("members", group.members().toString())
                .put("state", isServing ? "serving" : "not serving")
                .put("reason", isServing ? "" : fleet.notServing().getOrDefault(name, ""));
    }

    private static void addEndpoint(ArrayNode endpoints, EndpointRecord endpoint, FleetSnapshot fleet, long nowNanos) {
        final long deadlineNanos = fleet.servingDeadlinesNanos().getOrDefault(endpoint.getId(), nowNanos);
        endpoints
                .addObject()
                .put("id", endpoint.getId())
                .put("kind", endpoint.getKind())
                .put("target", endpoint.getTarget())
                .put("address", endpoint.getAddress())
                .put("cold", endpoint.isCold())
                .put("cold_holder", endpoint.getColdHolder())
                .put("serving_lease_left_ms", remainingMs(deadlineNanos, nowNanos));
    }

    private static void addVm(ArrayNode vms, Announcement announcement) {
        vms.addObject()
                .put("name", announcement.vm().vm().value())
                .put("incarnation", announcement.vm().incarnation())
                .put("availability_zone", announcement.zone().value())
                .put("fabric_domain", announcement.fabricDomain().value())
                .put("state", announcement.state().label())
                .put("group", announcement.group().map(Object::toString).orElse(""))
                .put("running", announcement.running());
    }

    private static long remainingMs(long deadlineNanos, long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos));
    }
}

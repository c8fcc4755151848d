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

/** Writes the state of the fleet as the leader sees it. Stateless; safe for use from any thread. */
public final class StatusReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StatusReport() {}

    /** Returns the status as JSON; throws with kind CONTROL_UNAVAILABLE if the VM does not lead. */
    public static byte[] json(ControlRole control) {
        final Leadership leadership = control.leadership()
                .orElseThrow(() -> new WigeongradeException(
                        ErrorKind.CONTROL_UNAVAILABLE,
                        "this VM does not lead; leader: "
                                + control.leader().map(Object::toString).orElse("none")));
        final long nowNanos = control.nowNanos();
        final FleetSnapshot fleet = leadership.snapshot(control.state(), nowNanos);
        final ObjectNode status = MAPPER.createObjectNode();
        status.put("revision", control.state().revision().value());
        status.put("leader", control.leader().map(Object::toString).orElse(""));
        status.put("term", leadership.term());
        status.put("log_index", control.state().appliedIndex());
        addNodes(status.putArray("nodes"), leadership, nowNanos);
        final ArrayNode zones = status.putArray("availability_zones");
        control.state()
                .zoneStates()
                .forEach((zone, state) ->
                        zones.addObject().put("name", zone.value()).put("state", state.label()));
        final ArrayNode groups = status.putArray("groups");
        control.state().groups().forEach(group -> addGroup(groups, group, fleet));
        leadership
                .holds()
                .forEach((group, reason) -> groups.addObject()
                        .put("name", group.value())
                        .put("state", "not formed")
                        .put("reason", reason.describe("")));
        final ArrayNode endpoints = status.putArray("endpoints");
        fleet.endpoints().forEach(endpoint -> addEndpoint(endpoints, endpoint, fleet, nowNanos));
        final ArrayNode vms = status.putArray("vms");
        leadership.announcements().live(nowNanos).forEach(said -> addVm(vms, said));
        return status.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void addNodes(ArrayNode nodes, Leadership leadership, long nowNanos) {
        for (final EntrySeen seen : leadership.entries()) {
            nodes.addObject()
                    .put("name", seen.node().value())
                    .put("availability_zone", seen.zone().value())
                    .put("revision_in_force", seen.revisionInForce().value())
                    .put("lease_left_ms", leftMs(seen.leaseEndsNanos(), nowNanos))
                    .put("seen_ms_ago", TimeUnit.NANOSECONDS.toMillis(nowNanos - seen.seenAtNanos()))
                    .put("stopping", seen.stopping());
        }
    }

    private static void addGroup(ArrayNode groups, FormedGroup group, FleetSnapshot fleet) {
        final String name = group.group().value();
        final boolean serves = fleet.servingDeadlinesNanos().containsKey(name);
        groups.addObject()
                .put("name", name)
                .put("pool", group.pool().value())
                .put("availability_zone", group.zone().value())
                .put("fabric_domain", group.fabricDomain().value())
                .put("model_version", group.modelVersion().value())
                .put("members", group.members().toString())
                .put("state", serves ? "serving" : "not serving")
                .put("reason", serves ? "" : fleet.notServing().getOrDefault(name, ""));
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
                .put("serving_lease_left_ms", leftMs(deadlineNanos, nowNanos));
    }

    private static void addVm(ArrayNode vms, Announcement said) {
        vms.addObject()
                .put("name", said.vm().vm().value())
                .put("incarnation", said.vm().incarnation())
                .put("availability_zone", said.zone().value())
                .put("fabric_domain", said.fabricDomain().value())
                .put("state", said.state().label())
                .put("group", said.group().map(Object::toString).orElse(""))
                .put("running", said.running());
    }

    private static long leftMs(long deadlineNanos, long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos));
    }
}

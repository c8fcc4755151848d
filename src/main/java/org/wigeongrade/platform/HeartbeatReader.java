package org.wigeongrade.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.settings.NodeAddress;

/** Parses heartbeats of endpoint VMs. Stateless; safe for use from any thread. */
final class HeartbeatReader {
    private HeartbeatReader() {}

    /** Parses a heartbeat; throws with kind INVALID_CONFIGURATION if a field is missing or has the wrong type. */
    static VmHeartbeat read(String vm, byte[] body) {
        try {
            return read(vm, WireJson.parse(body));
        } catch (IllegalArgumentException e) {
            throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, e.getMessage(), e);
        }
    }

    /** Parses the incarnation in the body of a deregistration; the body may be empty. */
    static OptionalLong readIncarnation(byte[] body) {
        if (body.length == 0) {
            return OptionalLong.empty();
        }
        final WireJson json = WireJson.parse(body);
        return json.has("born") ? OptionalLong.of(json.integer("born")) : OptionalLong.empty();
    }

    private static VmHeartbeat read(String vm, WireJson json) {
        return new VmHeartbeat(
                // "born" is the start time of the process, which distinguishes incarnations of one VM id.
                new VmIncarnation(VmName.of(vm), json.integer("born")),
                json.integer("sequence"),
                ServiceName.of(json.string("service")),
                NodeAddress.ofVm(json.string("address")).toString(),
                AvailabilityZone.of(json.string("zone")),
                // "version" is the version of the VM's software here, not of a configuration or model.
                json.optionalStringOrNumber("version").orElse(""),
                json.smallInteger("slots"),
                isDraining(json.string("state")),
                Math.max(0, Math.round(json.number("coldRemainingMs", 0))),
                json.optionalStringOrNumber("domain").map(FabricDomain::of),
                models(json, "staged"),
                models(json, "models").stream().findFirst(),
                group(json));
    }

    private static boolean isDraining(String state) {
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, "unknown state '" + state + "'");
        };
    }

    private static Set<ModelVersionName> models(WireJson json, String field) {
        if (!json.has(field)) {
            return ImmutableSet.of();
        }
        return names(json, field).stream().map(ModelVersionName::of).collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the names of models that are listed as strings or as objects with a name. */
    private static List<String> names(WireJson json, String field) {
        return json.isArrayOfStrings(field)
                ? json.strings(field)
                : json.objects(field).stream()
                        .map(model -> model.string("name"))
                        .collect(ImmutableList.toImmutableList());
    }

    private static Optional<GroupReport> group(WireJson json) {
        return json.object("group")
                .map(group -> new GroupReport(
                        GroupName.of(group.string("name")),
                        group.integer("epoch"),
                        group.smallInteger("rank"),
                        GroupState.valueOf(group.string("state").toUpperCase(Locale.ROOT))));
    }
}

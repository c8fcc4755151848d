package org.wigeongrade.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
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

/** Reads heartbeats of endpoint VMs. Stateless; safe for use from any thread. */
final class HeartbeatReader {
    private HeartbeatReader() {}

    /** Reads a heartbeat; throws with kind INVALID_CONFIGURATION if a field is missing or of another type. */
    static VmHeartbeat read(String vm, byte[] body) {
        try {
            return read(vm, WireJson.parse(body));
        } catch (IllegalArgumentException e) {
            throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, e.getMessage(), e);
        }
    }

    private static VmHeartbeat read(String vm, WireJson json) {
        return new VmHeartbeat(
                // "born" is the time of the process's start, which tells incarnations of one id apart.
                new VmIncarnation(VmName.of(vm), json.integer("born")),
                json.integer("sequence"),
                ServiceName.of(json.text("service")),
                NodeAddress.of(json.text("address")).toString(),
                AvailabilityZone.of(json.text("zone")),
                // "version" is that of the VM's software here, not of a configuration or model.
                json.optionalLabel("version").orElse(""),
                json.smallInteger("slots"),
                isDraining(json.text("state")),
                Math.round(json.number("coldRemainingMs", 0)),
                json.optionalLabel("domain").map(FabricDomain::of),
                models(json, "staged"),
                models(json, "models").stream().findFirst(),
                group(json));
    }

    private static boolean isDraining(String state) {
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default ->
                throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, "state '" + state + "' is not known");
        };
    }

    private static Set<ModelVersionName> models(WireJson json, String field) {
        if (!json.has(field)) {
            return ImmutableSet.of();
        }
        return names(json, field).stream().map(ModelVersionName::of).collect(ImmutableSet.toImmutableSet());
    }

    /** Models are listed by name, or as objects that hold a name. */
    private static List<String> names(WireJson json, String field) {
        return json.isArrayOfTexts(field)
                ? json.texts(field)
                : json.objects(field).stream()
                        .map(model -> model.text("name"))
                        .collect(ImmutableList.toImmutableList());
    }

    private static Optional<GroupReport> group(WireJson json) {
        return json.object("group")
                .map(group -> new GroupReport(
                        GroupName.of(group.text("name")),
                        group.integer("epoch"),
                        group.smallInteger("rank"),
                        GroupState.valueOf(group.text("state").toUpperCase(Locale.ROOT))));
    }
}

package org.wigeongrade.decisions.placement;

import java.util.List;
import java.util.Optional;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * An order to one engine VM; sending it again has no further effect. {@code address} is {@code ip:port}. {@code
 * members} are in rank order. {@code weights} is the key in the weight store. Members, model version and weights are
 * set only for JOIN. Immutable; safe for use from any thread.
 */
public record Order(
        OrderKind kind,
        VmIncarnation vm,
        String address,
        GroupName group,
        List<VmName> members,
        Optional<ModelVersionName> modelVersion,
        Optional<String> weights,
        FencingToken fencingToken) {
    public Order {
        members = List.copyOf(members);
    }
}

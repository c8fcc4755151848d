package org.wigeongrade.decisions.config;

import java.util.List;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;

/**
 * A group that the declared set asks for: numbered by its pool, or declared by name. {@code zones} are those it may be
 * formed in; empty means any. {@code order} is its place in the pool: the lowest is formed first and dissolved last.
 * Immutable; safe for use from any thread.
 */
public record DeclaredGroup(GroupName name, PoolDeclaration pool, List<AvailabilityZone> zones, int order) {
    public DeclaredGroup {
        zones = List.copyOf(zones);
    }

    /** Returns whether the group may be formed in the availability zone. */
    public boolean allows(AvailabilityZone zone) {
        return zones.isEmpty() || zones.contains(zone);
    }
}

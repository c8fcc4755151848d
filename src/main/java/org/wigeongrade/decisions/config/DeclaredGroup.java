package org.wigeongrade.decisions.config;

import java.util.List;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;

/**
 * A group that the declared set contains: one of the numbered groups of a pool, or declared by name. {@code zones} are
 * the availability zones in which it may be formed; empty means any. {@code positionInPool} counts from 0; the lowest
 * is formed first and dissolved last. Immutable; safe for use from any thread.
 */
public record DeclaredGroup(GroupName name, PoolDeclaration pool, List<AvailabilityZone> zones, int positionInPool) {
    public DeclaredGroup {
        zones = List.copyOf(zones);
    }

    /** Returns whether the group may be formed in the availability zone. */
    public boolean allows(AvailabilityZone zone) {
        return zones.isEmpty() || zones.contains(zone);
    }
}

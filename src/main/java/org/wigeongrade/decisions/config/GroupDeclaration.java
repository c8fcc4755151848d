package org.wigeongrade.decisions.config;

import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.PoolName;

/**
 * Declares one group by name in a pool and pins it to an availability zone. Immutable; safe for use from any thread.
 */
public record GroupDeclaration(GroupName name, PoolName pool, AvailabilityZone zone) {}

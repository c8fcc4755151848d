package org.wigeongrade.decisions.config;

import org.wigeongrade.ids.AvailabilityZone;

/** Declares an availability zone and its region. Immutable; safe for use from any thread. */
public record ZoneDeclaration(AvailabilityZone name, String region) {}

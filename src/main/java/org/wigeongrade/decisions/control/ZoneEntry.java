package org.wigeongrade.decisions.control;

import org.wigeongrade.ids.AvailabilityZone;

/** State of one availability zone, as stored in a snapshot. Immutable; safe for use from any thread. */
public record ZoneEntry(AvailabilityZone zone, ZoneState state) {}

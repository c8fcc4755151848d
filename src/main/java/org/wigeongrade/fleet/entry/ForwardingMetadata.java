package org.wigeongrade.fleet.entry;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.VmName;

/**
 * Values that this system adds to a request when it forwards it to an endpoint. Immutable; safe for use from any
 * thread.
 *
 * @param remainingMs time that is left for the response
 * @param vm the only VM that may run the request
 * @param organisation the organisation that owns the caller's API key
 * @param resumeAfter id of the last event that the caller has, if the endpoint must continue a stream after it
 * @param urgency order in which the endpoint admits waiting requests, lower values first; empty for its default
 */
public record ForwardingMetadata(
        long remainingMs,
        VmName vm,
        Optional<OrganisationName> organisation,
        OptionalLong resumeAfter,
        OptionalInt urgency) {}

package org.wigeongrade.fleet.entry;

import java.util.Optional;
import java.util.OptionalLong;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.VmName;

/**
 * What this system adds to a request that it passes on. Immutable; safe for use from any thread.
 *
 * @param remainingMs time that is left for the answer
 * @param vm the only VM that may run the request
 * @param organisation the organisation that holds the caller's key
 * @param resumeAfter last event that was passed on, where a stream goes on at another endpoint
 */
public record SendTerms(
        long remainingMs, VmName vm, Optional<OrganisationName> organisation, OptionalLong resumeAfter) {}

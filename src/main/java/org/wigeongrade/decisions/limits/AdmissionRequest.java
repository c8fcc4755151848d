package org.wigeongrade.decisions.limits;

import org.wigeongrade.ids.OrganisationName;

/**
 * A request to be admitted under its organisation's limits; a limit of 0 means that none is declared. When the request
 * ends, {@code estimatedTokens} are corrected to the tokens actually used. Immutable; safe for use from any thread.
 */
public record AdmissionRequest(
        OrganisationName organisation,
        int requestsInFlight,
        int requestsPerSecond,
        long tokensPerMinute,
        long estimatedTokens) {}

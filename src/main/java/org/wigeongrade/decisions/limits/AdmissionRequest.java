package org.wigeongrade.decisions.limits;

import org.wigeongrade.ids.OrganisationName;

/**
 * A request that asks to be admitted under its organisation's limits; a limit of 0 means that none is declared. {@code
 * estimatedTokens} are settled to the tokens used when the request ends. Immutable; safe for use from any thread.
 */
public record AdmissionRequest(
        OrganisationName organisation,
        int requestsInFlight,
        int requestsPerSecond,
        long tokensPerMinute,
        long estimatedTokens) {}

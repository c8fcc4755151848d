package org.wigeongrade.decisions.config;

import java.util.List;
import org.wigeongrade.ids.OrganisationName;

/**
 * Declares an organisation with its callers' keys and fleet-wide limits. {@code keySha256} are lower-case hexadecimal
 * SHA-256 digests of the bearer keys. Immutable; safe for use from any thread.
 */
public record OrganisationDeclaration(
        OrganisationName name,
        List<String> keySha256,
        int requestsPerSecond,
        int requestsInFlight,
        long tokensPerMinute) {
    public OrganisationDeclaration {
        keySha256 = keySha256 == null ? List.of() : List.copyOf(keySha256);
    }
}

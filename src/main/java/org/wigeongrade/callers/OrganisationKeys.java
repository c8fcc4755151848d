package org.wigeongrade.callers;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * Finds the organisation that a bearer key belongs to.
 *
 * <p>Invariant: keys are stored and compared only as digests. Immutable; safe for use from any thread.
 */
public final class OrganisationKeys {
    private static final String BEARER = "Bearer ";

    private final ImmutableMap<String, OrganisationDeclaration> organisationsByDigest;

    public OrganisationKeys(DeclaredSet declaredSet) {
        final ImmutableMap.Builder<String, OrganisationDeclaration> builder = ImmutableMap.builder();
        for (OrganisationDeclaration organisation : declaredSet.organisations()) {
            organisation.keySha256().forEach(digest -> builder.put(digest, organisation));
        }
        organisationsByDigest = builder.buildKeepingLast();
    }

    /**
     * Returns the organisation whose key is in the {@code Authorization} header; throws with kind UNAUTHENTICATED if
     * there is none.
     */
    public OrganisationDeclaration authenticate(Optional<String> authorization) {
        return authorization
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).trim())
                .map(OrganisationKeys::digest)
                .map(organisationsByDigest::get)
                .orElseThrow(() -> new WigeongradeException(
                        ErrorKind.UNAUTHENTICATED,
                        "the Authorization header has no bearer key of a declared organisation"));
    }

    private static String digest(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }
}

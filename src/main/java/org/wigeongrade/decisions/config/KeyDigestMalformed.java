package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Finds malformed key digests, since no key matches them and all callers with the key would be refused. Stateless. */
final class KeyDigestMalformed implements ConfigurationRule {
    private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");

    @Override
    public String code() {
        return "key_digest_malformed";
    }

    @Override
    public String summary() {
        return "A key digest is not 64 lower-case hexadecimal digits, so no key could match it.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final OrganisationDeclaration organisation : set.organisations()) {
            final ObjectId id = ObjectId.of(ObjectKind.ORGANISATION, organisation.name());
            organisation.keySha256().stream()
                    .filter(digest -> !SHA_256_HEX.matcher(digest).matches())
                    .forEach(digest -> faults.add(fault(id, digest)));
        }
        return faults;
    }

    private ConfigurationFault fault(ObjectId id, String digest) {
        return ConfigurationFault.error(
                code(),
                id,
                "key_sha256",
                id + " has the key digest '" + digest
                        + "'; give the SHA-256 of the key as 64 lower-case hexadecimal digits");
    }
}

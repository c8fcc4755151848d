package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds keys shared by two organisations, since a caller's organisation and limits would be ambiguous. Stateless. */
final class KeySharedByOrganisations implements ConfigurationRule {
    @Override
    public String code() {
        return "key_shared_by_organisations";
    }

    @Override
    public String summary() {
        return "Two organisations list the same key digest, so the organisation of a caller is ambiguous.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final Map<String, ObjectId> owners = new HashMap<>();
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final OrganisationDeclaration organisation : set.organisations()) {
            final ObjectId id = ObjectId.of(ObjectKind.ORGANISATION, organisation.name());
            for (final String digest : organisation.keySha256()) {
                final ObjectId owner = owners.putIfAbsent(digest, id);
                if (owner != null && !owner.equals(id)) {
                    faults.add(fault(id, owner, digest));
                }
            }
        }
        return faults;
    }

    private ConfigurationFault fault(ObjectId id, ObjectId owner, String digest) {
        return ConfigurationFault.error(
                code(),
                id,
                "key_sha256",
                id + " lists the key digest " + digest + " of " + owner + "; give each organisation its own key");
    }
}

package org.wigeongrade.decisions.config;

import java.util.List;

/** Finds organisations without a key, since none of their callers could be authenticated. Stateless. */
final class OrganisationWithoutKey implements ConfigurationRule {
    @Override
    public String code() {
        return "organisation_without_key";
    }

    @Override
    public String summary() {
        return "An organisation lists no key digest, so no caller can use it yet.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        return set.organisations().stream()
                .filter(organisation -> organisation.keySha256().isEmpty())
                .map(organisation -> ObjectId.of(ObjectKind.ORGANISATION, organisation.name()))
                .map(id -> ConfigurationFault.warning(
                        code(), id, "key_sha256", id + " lists no key; its callers are refused until it does"))
                .toList();
    }
}

package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;

/** Finds required fields without a value, since every other rule reads them. Stateless. */
final class MissingValue implements ConfigurationRule {
    @Override
    public String code() {
        return "missing_value";
    }

    @Override
    public String summary() {
        return "A required field has no value.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final ZoneDeclaration zone : set.zones()) {
            requireValue(ObjectKind.AVAILABILITY_ZONE, zone.name(), "name", zone.name(), faults);
        }
        for (final ModelVersionDeclaration version : set.modelVersions()) {
            requireValue(ObjectKind.MODEL_VERSION, version.name(), "name", version.name(), faults);
            requireValue(ObjectKind.MODEL_VERSION, version.name(), "model", version.model(), faults);
            requireValue(ObjectKind.MODEL_VERSION, version.name(), "weights", version.weights(), faults);
        }
        for (final PoolDeclaration pool : set.pools()) {
            requireValue(ObjectKind.POOL, pool.name(), "name", pool.name(), faults);
            requireValue(ObjectKind.POOL, pool.name(), "model_version", pool.modelVersion(), faults);
            requireValue(ObjectKind.POOL, pool.name(), "weighs", pool.weighs(), faults);
        }
        for (final GroupDeclaration group : set.groups()) {
            requireValue(ObjectKind.GROUP, group.name(), "name", group.name(), faults);
            requireValue(ObjectKind.GROUP, group.name(), "pool", group.pool(), faults);
            requireValue(ObjectKind.GROUP, group.name(), "availability_zone", group.zone(), faults);
        }
        for (final ServiceDeclaration service : set.services()) {
            requireValue(ObjectKind.SERVICE, service.name(), "name", service.name(), faults);
        }
        for (final OrganisationDeclaration organisation : set.organisations()) {
            requireValue(ObjectKind.ORGANISATION, organisation.name(), "name", organisation.name(), faults);
        }
        return faults;
    }

    private void requireValue(
            ObjectKind kind, Object name, String field, Object value, List<ConfigurationFault> faults) {
        if (value != null) {
            return;
        }
        final ObjectId id = ObjectId.of(kind, name == null ? "(unnamed)" : name);
        faults.add(ConfigurationFault.error(code(), id, field, id + " has no " + field + "; give it a value"));
    }
}

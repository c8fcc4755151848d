package org.wigeongrade.decisions.config;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * All objects that operators declare; the set is checked and published as a whole.
 *
 * <p>Invariant: lists are never null and never change. Immutable; safe for use from any thread.
 */
public record DeclaredSet(
        List<ZoneDeclaration> zones,
        List<ModelVersionDeclaration> modelVersions,
        List<PoolDeclaration> pools,
        List<GroupDeclaration> groups,
        List<ServiceDeclaration> services,
        List<OrganisationDeclaration> organisations) {
    /** A set with no objects. */
    public static final DeclaredSet EMPTY =
            new DeclaredSet(List.of(), List.of(), List.of(), List.of(), List.of(), List.of());

    public DeclaredSet {
        zones = copyOf(zones);
        modelVersions = copyOf(modelVersions);
        pools = copyOf(pools);
        groups = copyOf(groups);
        services = copyOf(services);
        organisations = copyOf(organisations);
    }

    /**
     * Returns the longest time that a call to any declared service may run, in milliseconds; 0 if there are no
     * services.
     */
    public long longestServiceRunMs() {
        return services.stream()
                .mapToLong(ServiceDeclaration::longestRunMs)
                .max()
                .orElse(0);
    }

    private static <T> List<T> copyOf(List<T> list) {
        return list == null ? ImmutableList.of() : ImmutableList.copyOf(list);
    }
}

package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds models that pools serve in more than one version, since a caller of the model may get any of them. Stateless.
 */
final class ModelWithTwoVersions implements ConfigurationRule {
    @Override
    public String code() {
        return "model_with_two_versions";
    }

    @Override
    public String summary() {
        return "Pools serve one model in two versions; a caller of the model may get either, and one of them throughout a request.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final String model : servedModels(set)) {
            final List<PoolDeclaration> pools = poolsOf(set, model);
            final long versions =
                    pools.stream().map(PoolDeclaration::modelVersion).distinct().count();
            if (versions > 1) {
                faults.add(fault(model, pools.get(pools.size() - 1)));
            }
        }
        return faults;
    }

    private static List<String> servedModels(DeclaredSet set) {
        return set.modelVersions().stream()
                .map(ModelVersionDeclaration::model)
                .distinct()
                .toList();
    }

    private static List<PoolDeclaration> poolsOf(DeclaredSet set, String model) {
        return set.pools().stream()
                .filter(pool -> set.modelVersions().stream()
                        .anyMatch(version -> version.name().equals(pool.modelVersion())
                                && version.model().equals(model)))
                .toList();
    }

    private ConfigurationFault fault(String model, PoolDeclaration pool) {
        final ObjectId id = ObjectId.of(ObjectKind.POOL, pool.name());
        return ConfigurationFault.warning(
                code(),
                id,
                "model_version",
                "model '" + model + "' is served in more than one version, one of them by " + id
                        + "; callers may get any of them until one pool is removed or changed");
    }
}

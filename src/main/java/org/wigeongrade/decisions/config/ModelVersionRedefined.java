package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds model versions whose model or weights change under the same name, since running groups would keep the old ones.
 * Stateless.
 */
final class ModelVersionRedefined implements ConfigurationRule {
    @Override
    public String code() {
        return "model_version_redefined";
    }

    @Override
    public String summary() {
        return "A model version changes its model or weights under the same name, so running groups would keep the old ones.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final ModelVersionDeclaration version : set.modelVersions()) {
            current.modelVersions().stream()
                    .filter(earlier -> earlier.name().equals(version.name()) && !earlier.equals(version))
                    .forEach(earlier -> faults.add(fault(version, earlier)));
        }
        return faults;
    }

    private ConfigurationFault fault(ModelVersionDeclaration version, ModelVersionDeclaration earlier) {
        final ObjectId id = ObjectId.of(ObjectKind.MODEL_VERSION, version.name());
        return ConfigurationFault.error(
                code(),
                id,
                "weights",
                id + " was model '" + earlier.model() + "' with weights '" + earlier.weights()
                        + "'; declare the new one under a new name and point the pool to it");
    }
}

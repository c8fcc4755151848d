package org.wigeongrade.decisions.config;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Finds idempotent methods that are not upper-case HTTP methods, since they would match no call. Stateless. */
final class MethodMalformed implements ConfigurationRule {
    private static final ImmutableList<String> METHODS =
            ImmutableList.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH");

    @Override
    public String code() {
        return "method_malformed";
    }

    @Override
    public String summary() {
        return "An idempotent method is not an upper-case HTTP method, so it would match no call.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final ServiceDeclaration service : set.services()) {
            final ObjectId id = ObjectId.of(ObjectKind.SERVICE, service.name());
            service.idempotentMethods().stream()
                    .filter(method -> !METHODS.contains(method))
                    .forEach(method -> faults.add(fault(id, method)));
        }
        return faults;
    }

    private ConfigurationFault fault(ObjectId id, String method) {
        return ConfigurationFault.error(
                code(),
                id,
                "idempotent_methods",
                id + " lists the method '" + method + "'; use one of " + String.join(", ", METHODS));
    }
}

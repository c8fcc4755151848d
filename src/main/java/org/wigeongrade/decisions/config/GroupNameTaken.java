package org.wigeongrade.decisions.config;

import com.google.common.primitives.Ints;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds groups declared under the name of a numbered group of a pool, since two groups would share the name. Stateless.
 */
final class GroupNameTaken implements ConfigurationRule {
    @Override
    public String code() {
        return "group_name_taken";
    }

    @Override
    public String summary() {
        return "A group has the name of a numbered group of a pool, so two groups would share it.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final GroupDeclaration group : set.groups()) {
            set.pools().stream()
                    .filter(pool -> isNumberedGroupOf(pool, group.name().value()))
                    .forEach(pool -> faults.add(fault(group, pool)));
        }
        return faults;
    }

    private static boolean isNumberedGroupOf(PoolDeclaration pool, String name) {
        final String prefix = pool.name().value() + "/";
        if (!name.startsWith(prefix)) {
            return false;
        }
        final Integer number = Ints.tryParse(name.substring(prefix.length()));
        return number != null && number >= 1 && number <= pool.replicas();
    }

    private ConfigurationFault fault(GroupDeclaration group, PoolDeclaration pool) {
        final ObjectId id = ObjectId.of(ObjectKind.GROUP, group.name());
        return ConfigurationFault.error(
                code(),
                id,
                "name",
                id + " is the name of a replica of pool '" + pool.name() + "'; give the group another name");
    }
}

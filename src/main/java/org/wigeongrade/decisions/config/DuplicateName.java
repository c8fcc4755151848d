package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds objects of the same kind with the same name, since references to the name would be ambiguous. Stateless. */
final class DuplicateName implements ConfigurationRule {
    @Override
    public String code() {
        return "duplicate_name";
    }

    @Override
    public String summary() {
        return "Two objects of one kind share a name, so references to it are ambiguous.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final Set<ObjectId> seen = new HashSet<>();
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final ObjectId id : DeclaredObjects.ids(set)) {
            if (!seen.add(id)) {
                faults.add(ConfigurationFault.error(
                        code(), id, "name", id + " is declared more than once; rename or remove one of them"));
            }
        }
        return faults;
    }
}

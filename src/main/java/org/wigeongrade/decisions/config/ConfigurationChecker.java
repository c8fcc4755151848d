package org.wigeongrade.decisions.config;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Checks a whole declared set by every rule and lists all faults at once. Stateless; safe for use from any thread.
 */
public final class ConfigurationChecker {
    private static final ConfigurationRule REQUIRED_FIELDS = new MissingValue();

    private static final ImmutableList<ConfigurationRule> RULES = ImmutableList.of(
            new DuplicateName(),
            new UnknownReference(),
            new NonPositiveNumber(),
            new ColdCapacityOverCapacity(),
            new KeyDigestMalformed(),
            new KeySharedByOrganisations());

    private ConfigurationChecker() {}

    /** Returns every rule in the order in which faults are listed. */
    public static List<ConfigurationRule> rules() {
        return ImmutableList.<ConfigurationRule>builder()
                .add(REQUIRED_FIELDS)
                .addAll(RULES)
                .build();
    }

    /**
     * Returns all faults of {@code set}, which would replace {@code current}. With a required field missing only the
     * missing fields are listed, since the other rules read them.
     */
    public static List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> missing = REQUIRED_FIELDS.check(set, current);
        if (!missing.isEmpty()) {
            return missing;
        }
        return RULES.stream()
                .flatMap(rule -> rule.check(set, current).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether any of the faults refuses the set. */
    public static boolean refusesSet(List<ConfigurationFault> faults) {
        return faults.stream().anyMatch(fault -> fault.severity().refusesSet());
    }
}

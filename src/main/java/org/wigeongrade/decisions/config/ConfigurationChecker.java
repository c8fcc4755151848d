package org.wigeongrade.decisions.config;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Checks a whole declared set by every rule and lists all faults at once. Stateless; safe for use from any thread.
 */
public final class ConfigurationChecker {
    /** Maximum number of faults that {@link #describe} lists. */
    public static final int MAX_DESCRIBED = 500;

    private static final ConfigurationRule REQUIRED_FIELDS = new MissingValue();

    private static final ImmutableList<ConfigurationRule> RULES = ImmutableList.of(
            new DuplicateName(),
            new UnknownReference(),
            new NonPositiveNumber(),
            new NumberTooLarge(),
            new ColdCapacityOverCapacity(),
            new KeyDigestMalformed(),
            new KeySharedByOrganisations(),
            new OrganisationWithoutKey(),
            new GroupNameTaken(),
            new GroupZoneNotInPool(),
            new PoolWithoutZone(),
            new WarmSparesWithoutEffect(),
            new ModelVersionRedefined(),
            new ModelWithTwoVersions(),
            new MethodMalformed());

    private ConfigurationChecker() {}

    /** Returns every rule in the order in which faults are listed. */
    public static List<ConfigurationRule> rules() {
        return ImmutableList.<ConfigurationRule>builder()
                .add(REQUIRED_FIELDS)
                .addAll(RULES)
                .build();
    }

    /**
     * Returns all faults of {@code set}, which would replace {@code current}. If any required field is missing, only
     * missing fields are listed, since the other rules read these fields.
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

    /**
     * Returns one line for each of the first {@link #MAX_DESCRIBED} faults, and a line with the number of the others.
     */
    public static String describe(List<ConfigurationFault> faults) {
        final String lines = faults.stream()
                .limit(MAX_DESCRIBED)
                .map(ConfigurationFault::toString)
                .collect(Collectors.joining("\n"));
        final int hidden = faults.size() - MAX_DESCRIBED;
        return hidden > 0 ? lines + "\nand " + hidden + " more; run 'wigeongrade check' to list all" : lines;
    }

    /** Returns whether the set is refused because of any of the faults. */
    public static boolean refusesSet(List<ConfigurationFault> faults) {
        return faults.stream().anyMatch(fault -> fault.severity().refusesSet());
    }
}

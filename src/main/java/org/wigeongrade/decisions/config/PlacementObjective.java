package org.wigeongrade.decisions.config;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Locale;

/** What the placement of a pool's groups optimises for. Immutable; safe for use from any thread. */
public enum PlacementObjective {
    /** Minimises the downtime of groups: warm spare VMs are kept free so that lost members are replaced soon. */
    GROUP_DOWNTIME,
    /** Minimises the accelerators that do not serve: VMs are packed into groups and no spares are kept. */
    STRANDED_ACCELERATORS;

    /** Parses the label used in declared files; throws {@link IllegalArgumentException} if it is unknown. */
    public static PlacementObjective of(String label) {
        return Arrays.stream(values())
                .filter(objective -> objective.label().equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("'" + label
                        + "' is not a value of weighs; use \"group_downtime\" or \"stranded_accelerators\""));
    }

    /** Returns the label used in declared files. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the number of spare VMs to keep free in each availability zone, given the declared number. */
    public int sparesToKeep(int declaredSpares) {
        return switch (this) {
            case GROUP_DOWNTIME -> declaredSpares;
            case STRANDED_ACCELERATORS -> 0;
        };
    }

    /**
     * Returns the order in which fabric domains are preferred for a new group, by their number of free VMs. Preferring
     * the most leaves spares in the domain of each group; preferring the fewest leaves whole domains free for other
     * groups.
     */
    public Comparator<Integer> leftoverVmsOrder() {
        return switch (this) {
            case GROUP_DOWNTIME -> Comparator.reverseOrder();
            case STRANDED_ACCELERATORS -> Comparator.naturalOrder();
        };
    }
}

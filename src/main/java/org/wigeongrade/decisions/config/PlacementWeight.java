package org.wigeongrade.decisions.config;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Locale;

/** What a pool's placement weighs most. Immutable; safe for use from any thread. */
public enum PlacementWeight {
    /** Keeps warm spare VMs so that a broken group is whole again soon. */
    GROUP_DOWNTIME,
    /** Packs VMs into groups so that few accelerators are held without serving. */
    STRANDED_ACCELERATORS;

    /** Reads the weight as it stands in declared files; throws {@link IllegalArgumentException} if there is none. */
    public static PlacementWeight of(String label) {
        return Arrays.stream(values())
                .filter(weight -> weight.label().equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "'" + label + "' is not a weight; use \"group_downtime\" or \"stranded_accelerators\""));
    }

    /** Returns the weight as it stands in declared files. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the number of VMs to keep out of groups in each availability zone, given the declared number. */
    public int sparesToKeep(int declaredSpares) {
        return switch (this) {
            case GROUP_DOWNTIME -> declaredSpares;
            case STRANDED_ACCELERATORS -> 0;
        };
    }

    /**
     * Returns the order in which fabric domains are preferred for a new group, by the free VMs left over in them: the
     * most left over keeps spares beside each group, the fewest keeps whole domains free for other groups.
     */
    public Comparator<Integer> leftOverOrder() {
        return switch (this) {
            case GROUP_DOWNTIME -> Comparator.reverseOrder();
            case STRANDED_ACCELERATORS -> Comparator.naturalOrder();
        };
    }
}

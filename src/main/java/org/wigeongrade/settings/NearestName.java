package org.wigeongrade.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known name that a misspelled name most likely stands for. Stateless; safe for use from any thread. */
public final class NearestName {
    private NearestName() {}

    /**
     * Returns the known name with the smallest edit distance from {@code name}; empty if even that name differs in more
     * than half of its characters. Ties go to the first name in alphabetical order.
     */
    public static Optional<String> find(String name, Collection<String> knownNames) {
        return knownNames.stream()
                .filter(candidate -> editDistance(name, candidate) <= Math.max(1, candidate.length() / 2))
                .min(Comparator.<String>comparingInt(candidate -> editDistance(name, candidate))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the Levenshtein distance: the number of inserted, deleted or replaced characters between two names. */
    static int editDistance(String left, String right) {
        int[] previous = firstRow(right.length());
        for (int i = 1; i <= left.length(); i++) {
            final int[] current = new int[right.length() + 1];
            current[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                final int substitutionCost = previous[j - 1] + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substitutionCost, 1 + Math.min(previous[j], current[j - 1]));
            }
            previous = current;
        }
        return previous[right.length()];
    }

    private static int[] firstRow(int length) {
        final int[] row = new int[length + 1];
        for (int j = 0; j <= length; j++) {
            row[j] = j;
        }
        return row;
    }
}

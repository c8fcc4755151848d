package org.wigeongrade.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known name that a misspelt one most likely means. Stateless; safe for use from any thread. */
public final class NearestName {
    private NearestName() {}

    /**
     * Returns the known name with the fewest edits from {@code name}; empty if even that one differs in more than half
     * of its characters. Of equally near names the first in alphabetical order wins.
     */
    public static Optional<String> find(String name, Collection<String> known) {
        return known.stream()
                .filter(candidate -> editDistance(name, candidate) <= Math.max(1, candidate.length() / 2))
                .min(Comparator.<String>comparingInt(candidate -> editDistance(name, candidate))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the number of inserted, deleted or replaced characters between two names. */
    static int editDistance(String left, String right) {
        int[] previous = firstRow(right.length());
        for (int i = 1; i <= left.length(); i++) {
            final int[] current = new int[right.length() + 1];
            current[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                final int replaced = previous[j - 1] + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(replaced, 1 + Math.min(previous[j], current[j - 1]));
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

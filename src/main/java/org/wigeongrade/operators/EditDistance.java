package org.wigeongrade.operators;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known name that is nearest to a misspelt one. Stateless; safe for use from any thread. */
final class EditDistance {
    private EditDistance() {}

    /** Returns the known name with the smallest distance, if at most half of the letters differ. */
    static Optional<String> nearest(String name, Collection<String> known) {
        return known.stream()
                .min(Comparator.<String>comparingInt(candidate -> between(name, candidate))
                        .thenComparing(Comparator.naturalOrder()))
                .filter(candidate -> between(name, candidate) * 2 <= Math.max(name.length(), candidate.length()));
    }

    /** Returns the number of insertions, removals and replacements that turn one name into the other. */
    static int between(String from, String to) {
        int[] above = new int[to.length() + 1];
        for (int column = 0; column <= to.length(); column++) {
            above[column] = column;
        }
        for (int row = 1; row <= from.length(); row++) {
            final int[] current = new int[to.length() + 1];
            current[0] = row;
            for (int column = 1; column <= to.length(); column++) {
                final int replaced = above[column - 1] + (from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1);
                current[column] = Math.min(replaced, Math.min(above[column], current[column - 1]) + 1);
            }
            above = current;
        }
        return above[to.length()];
    }
}

package org.wigeongrade.ids;

import java.util.regex.Pattern;

/**
 * Checks names and ids against the pattern that all share: 1 to 128 letters, digits or {@code . _ - / :}, beginning
 * with a letter or digit. Stateless.
 */
public final class Names {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}");

    private Names() {}

    /** Throws {@link IllegalArgumentException} with the kind of name and the fix if {@code value} is malformed. */
    public static void check(String kind, String value) {
        if (value == null || !PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException(kind + " '" + value
                    + "' is malformed: use 1 to 128 letters, digits or . _ - / : and begin with a letter or digit");
        }
    }
}

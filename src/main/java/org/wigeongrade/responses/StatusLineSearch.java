package org.wigeongrade.responses;

/**
 * Finds a status line inside a line of a head, byte by byte. If an endpoint sends the beginning of a head and then a
 * whole response, the status line of the second is a part of a line of the first. Not thread safe.
 */
final class StatusLineSearch {
    /** A status line up to its first digit; each 0 stands for any digit. */
    private static final String PATTERN = "HTTP/0.0 0";

    private int matched;

    void reset() {
        matched = 0;
    }

    /** Returns whether the line contains a status line now that it goes on with this byte. */
    boolean findsIn(int value) {
        if (!matches(PATTERN.charAt(matched), value)) {
            // The first character occurs only once in the pattern, so that no shorter match is under way.
            matched = value == PATTERN.charAt(0) ? 1 : 0;
            return false;
        }
        matched++;
        if (matched == PATTERN.length()) {
            matched = 0;
            return true;
        }
        return false;
    }

    private static boolean matches(char expected, int value) {
        return expected == '0' ? value >= '0' && value <= '9' : value == expected;
    }
}

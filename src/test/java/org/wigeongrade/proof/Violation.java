package org.wigeongrade.proof;

/**
 * One violation of a rule: the rule, what violated it, and what was observed. Immutable; safe for use from any thread.
 */
record Violation(String rule, String subject, String observed) {
    @Override
    public String toString() {
        return rule + ": " + subject + ": " + observed;
    }
}

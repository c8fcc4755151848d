package org.wigeongrade.proof;

/** One breach of a rule: which, of what, and what was seen. Immutable; safe for use from any thread. */
record Violation(String rule, String subject, String seen) {
    @Override
    public String toString() {
        return rule + ": " + subject + ": " + seen;
    }
}

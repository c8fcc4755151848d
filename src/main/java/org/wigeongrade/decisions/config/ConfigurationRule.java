package org.wigeongrade.decisions.config;

import java.util.List;

/**
 * A rule that checks a whole declared set.
 *
 * <p>Invariant: the faults depend only on the two sets and are listed in the order of the declared objects.
 * Implementations are stateless and safe for use from any thread.
 */
public interface ConfigurationRule {
    /** Returns the reason code in snake_case; docs/RULES.md has a section of that name. */
    String code();

    /** Returns a one-line summary of what the rule finds and why it matters; docs/RULES.md repeats it. */
    String summary();

    /** Returns the faults of {@code set}, which would replace {@code current}; empty if there are none. */
    List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current);
}

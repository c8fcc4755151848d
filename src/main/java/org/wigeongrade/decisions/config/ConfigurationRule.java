package org.wigeongrade.decisions.config;

import java.util.List;

/**
 * One rule over a whole declared set.
 *
 * <p>Invariant: the findings depend on the two sets alone and come in the order of the declared objects.
 * Implementations are stateless and safe for use from any thread.
 */
public interface ConfigurationRule {
    /** Returns the reason code in snake_case; docs/RULES.md has a section of that name. */
    String code();

    /** Returns one line that states what the rule finds and why it matters. */
    String summary();

    /** Returns the findings in {@code set}, which would replace {@code current}; empty if there are none. */
    List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current);
}

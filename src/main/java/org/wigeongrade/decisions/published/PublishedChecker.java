package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;

/** Checks a configuration against all rules. Stateless; safe for use from any thread. */
public final class PublishedChecker {
    static final ImmutableList<PublishedRule> RULES = ImmutableList.of(
            new UnknownServiceRule(),
            new DuplicateRouteRule(),
            new RouteWeightRule(),
            new RouteTimeoutRule(),
            new SharedKeyRule());

    private PublishedChecker() {}

    /** Returns all faults; empty if the configuration may be published. */
    public static ImmutableList<PublishedFault> check(PublishedConfiguration configuration) {
        return RULES.stream()
                .flatMap(
                        rule -> rule.findFaults(configuration).map(message -> new PublishedFault(rule.code(), message)))
                .collect(ImmutableList.toImmutableList());
    }
}

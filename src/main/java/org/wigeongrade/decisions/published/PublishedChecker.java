package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;

/** Checks a whole configuration by every rule. Stateless; safe for use from any thread. */
public final class PublishedChecker {
    static final ImmutableList<PublishedRule> RULES = ImmutableList.of(
            new RouteToUnknownService(),
            new RoutesInSamePlace(),
            new RouteWithoutWeight(),
            new RouteWithoutTimeout(),
            new KeyOfTwoOrganisations());

    private PublishedChecker() {}

    /** Returns every fault; empty if the configuration may be published. */
    public static ImmutableList<PublishedFault> check(PublishedConfiguration configuration) {
        return RULES.stream()
                .flatMap(rule -> rule.faults(configuration).map(message -> new PublishedFault(rule.code(), message)))
                .collect(ImmutableList.toImmutableList());
    }
}

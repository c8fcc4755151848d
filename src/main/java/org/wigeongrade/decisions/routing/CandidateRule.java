package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;

/** One reason to leave an endpoint out. Implementations are stateless. */
public interface CandidateRule {
    /** All rules, in the order in which they are asked: the first that matches gives the reason. */
    ImmutableList<CandidateRule> ALL = ImmutableList.of(
            new WrongTarget(),
            new Leaving(),
            new ZoneOut(),
            new ServingLeaseEnded(),
            new Excluded(),
            new ColdNotHolder(),
            new ColdFull(),
            new SuspectRunning(),
            new NoFreeSlot());

    RouteReason reason();

    /** Returns whether the endpoint may not be chosen. */
    boolean rejects(EndpointView endpoint, RouteContext context);
}

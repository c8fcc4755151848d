package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;

/** A reason to exclude an endpoint from routing. Implementations are stateless. */
public interface CandidateRule {
    /** All rules in evaluation order: the first rule that rejects an endpoint gives the reason. */
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

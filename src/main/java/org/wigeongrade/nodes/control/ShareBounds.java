package org.wigeongrade.nodes.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.limits.ResourceLimit;
import org.wigeongrade.decisions.limits.ShareAllocator;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.WarmupState;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.nodes.thrift.EndpointRecord;

/**
 * Updates the bounds in the share ledger from the declared set and from the endpoints that may serve.
 *
 * <p>Invariant: an endpoint that announces itself as cold, or that returns with another incarnation or fencing token,
 * is lowered to its cold capacity before any further grant. Used by one thread.
 */
final class ShareBounds {
    private static final long ORGANISATION_LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(60);

    private record EndpointRun(long term, long incarnation, long fencingTerm, long fencingSequence) {}

    private final Map<String, EndpointRun> lastRuns = new HashMap<>();

    void update(ControlState state, LeaderState leaderState, long nowNanos) {
        final FleetSnapshot fleet = leaderState.snapshot(state, nowNanos);
        fleet.endpoints().forEach(endpoint -> updateBounds(endpoint, leaderState));
        state.declaredSet().organisations().forEach(organisation -> updateBounds(organisation, leaderState.shares()));
    }

    private void updateBounds(EndpointRecord endpoint, LeaderState leaderState) {
        final ShareKey key = ShareKey.endpointSlots(new EndpointId(endpoint.getId()));
        final ResourceLimit bound = new ResourceLimit(
                endpoint.getCapacity(),
                endpoint.getColdCapacity(),
                TimeUnit.MILLISECONDS.toNanos(endpoint.getLongestRunMs()));
        final WarmupState warmth = endpoint.isCold() ? WarmupState.COLD : WarmupState.WARM;
        leaderState.shares().setLimit(key, bound, warmth);
        final EndpointRun run = new EndpointRun(
                leaderState.term(),
                endpoint.getIncarnation(),
                endpoint.getFencingTerm(),
                endpoint.getFencingSequence());
        final EndpointRun previousRun = lastRuns.put(endpoint.getId(), run);
        final boolean sameTerm = previousRun != null && previousRun.term() == run.term();
        if (endpoint.isCold() || (sameTerm && !previousRun.equals(run))) {
            leaderState.shares().applyColdSign(key);
        }
    }

    private static void updateBounds(OrganisationDeclaration organisation, ShareAllocator shares) {
        shares.setLimit(
                ShareKey.inFlight(organisation.name()),
                ResourceLimit.of(organisation.requestsInFlight(), ORGANISATION_LONGEST_RUN_NANOS),
                WarmupState.WARM);
        shares.setLimit(
                ShareKey.requestRate(organisation.name()),
                ResourceLimit.of(organisation.requestsPerSecond(), ORGANISATION_LONGEST_RUN_NANOS),
                WarmupState.WARM);
        shares.setLimit(
                ShareKey.tokensPerMinute(organisation.name()),
                ResourceLimit.of(
                        (int) Math.min(Integer.MAX_VALUE, organisation.tokensPerMinute()),
                        ORGANISATION_LONGEST_RUN_NANOS),
                WarmupState.WARM);
    }
}

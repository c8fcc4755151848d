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
 * Updates the limits of the share allocator from the declared set and from the endpoints that may serve.
 *
 * <p>Invariant: if an endpoint announces itself as cold, or returns with another incarnation or fencing token, its
 * limit is lowered to its cold capacity before any further grant. Used by one thread.
 */
final class ShareLimits {
    private static final long ORGANISATION_LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(60);

    private record EndpointIdentity(long term, long incarnation, long fencingTerm, long fencingSequence) {}

    private final Map<String, EndpointIdentity> lastIdentities = new HashMap<>();

    void update(ControlState state, LeaderState leaderState, long nowNanos) {
        final FleetSnapshot fleet = leaderState.snapshot(state, nowNanos);
        fleet.endpoints().forEach(endpoint -> updateLimits(endpoint, leaderState));
        state.declaredSet().organisations().forEach(organisation -> updateLimits(organisation, leaderState.shares()));
    }

    private void updateLimits(EndpointRecord endpoint, LeaderState leaderState) {
        final ShareKey key = ShareKey.endpointSlots(new EndpointId(endpoint.getId()));
        final ResourceLimit limit = new ResourceLimit(
                endpoint.getCapacity(),
                endpoint.getColdCapacity(),
                TimeUnit.MILLISECONDS.toNanos(endpoint.getLongestRunMs()));
        final WarmupState warmupState = endpoint.isCold() ? WarmupState.COLD : WarmupState.WARM;
        leaderState.shares().setLimit(key, limit, warmupState);
        final EndpointIdentity identity = new EndpointIdentity(
                leaderState.term(),
                endpoint.getIncarnation(),
                endpoint.getFencingTerm(),
                endpoint.getFencingSequence());
        final EndpointIdentity previousIdentity = lastIdentities.put(endpoint.getId(), identity);
        final boolean sameTerm = previousIdentity != null && previousIdentity.term() == identity.term();
        if (endpoint.isCold() || (sameTerm && !previousIdentity.equals(identity))) {
            leaderState.shares().applyColdSign(key);
        }
    }

    private static void updateLimits(OrganisationDeclaration organisation, ShareAllocator shares) {
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

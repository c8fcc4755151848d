package org.wigeongrade.nodes.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.limits.ShareBound;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareLedger;
import org.wigeongrade.decisions.limits.Warmth;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.nodes.thrift.EndpointRecord;

/**
 * Sets the bounds of the share ledger from the declared set and the endpoints that may serve.
 *
 * <p>Invariant: an endpoint that announces itself cold, or comes back in another life, is lowered to its cold capacity
 * before any further grant. Used by one thread.
 */
final class ShareBounds {
    private static final long ORGANISATION_LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(60);

    private record Life(long term, long incarnation, long fencingTerm, long fencingSequence) {}

    private final Map<String, Life> lives = new HashMap<>();

    void update(ControlState state, Leadership leadership, long nowNanos) {
        final FleetSnapshot fleet = leadership.snapshot(state, nowNanos);
        fleet.endpoints().forEach(endpoint -> bound(endpoint, leadership));
        state.declaredSet().organisations().forEach(organisation -> bound(organisation, leadership.shares()));
    }

    private void bound(EndpointRecord endpoint, Leadership leadership) {
        final ShareKey key = ShareKey.endpointSlots(new EndpointId(endpoint.getId()));
        final ShareBound bound = new ShareBound(
                endpoint.getCapacity(),
                endpoint.getColdCapacity(),
                TimeUnit.MILLISECONDS.toNanos(endpoint.getLongestRunMs()));
        final Warmth warmth = endpoint.isCold() ? Warmth.COLD : Warmth.WARM;
        leadership.shares().setBound(key, bound, warmth);
        final Life life = new Life(
                leadership.term(), endpoint.getIncarnation(), endpoint.getFencingTerm(), endpoint.getFencingSequence());
        final Life earlier = lives.put(endpoint.getId(), life);
        final boolean sameTerm = earlier != null && earlier.term() == life.term();
        if (endpoint.isCold() || (sameTerm && !earlier.equals(life))) {
            leadership.shares().coldSign(key);
        }
    }

    private static void bound(OrganisationDeclaration organisation, ShareLedger shares) {
        shares.setBound(
                ShareKey.inFlight(organisation.name()),
                ShareBound.of(organisation.requestsInFlight(), ORGANISATION_LONGEST_RUN_NANOS),
                Warmth.WARM);
        shares.setBound(
                ShareKey.requestRate(organisation.name()),
                ShareBound.of(organisation.requestsPerSecond(), ORGANISATION_LONGEST_RUN_NANOS),
                Warmth.WARM);
        shares.setBound(
                ShareKey.tokensPerMinute(organisation.name()),
                ShareBound.of(
                        (int) Math.min(Integer.MAX_VALUE, organisation.tokensPerMinute()),
                        ORGANISATION_LONGEST_RUN_NANOS),
                Warmth.WARM);
    }
}

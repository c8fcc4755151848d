package org.wigeongrade.decisions.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Admits requests under the fleet-wide limits of their organisations, using this VM's shares of those limits. Nothing
 * is queued: a request over a limit is refused at once, with the time after which to retry.
 *
 * <p>Invariant: a refused request has taken nothing. Safe for use from any thread: all state is in {@link HeldShares}.
 */
public final class OrganisationAdmission {
    private final HeldShares shares;

    public OrganisationAdmission(HeldShares shares) {
        this.shares = shares;
    }

    /** Takes what the request needs under every declared limit, or nothing at all. */
    public AdmissionDecision admit(AdmissionRequest request, long nowNanos) {
        List<Slot> slots = new ArrayList<>();
        for (AdmissionRule rule : AdmissionRule.ALL) {
            if (!rule.isDeclared(request)) {
                continue;
            }
            TakeResult result = rule.take(request, shares, nowNanos);
            if (result instanceof TakeResult.RetryLater retryLater) {
                slots.forEach(shares::undo);
                return new AdmissionDecision.Refused(rule.reason(), retryLater.retryAfterMs());
            }
            slots.add(((TakeResult.Taken) result).slot());
        }
        return new AdmissionDecision.Admitted(slots);
    }

    /** Releases the slots of an admitted request that used {@code usedTokens}. */
    public void finish(AdmissionDecision.Admitted admitted, long usedTokens) {
        for (Slot slot : admitted.slots()) {
            end(slot, usedTokens);
        }
    }

    private void end(Slot slot, long usedTokens) {
        switch (slot.key().kind()) {
            case ORGANISATION_TOKENS_PER_MINUTE -> shares.adjustToUsage(slot, usedTokens);
            case ORGANISATION_REQUEST_RATE -> {}
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> shares.release(slot);
        }
    }
}

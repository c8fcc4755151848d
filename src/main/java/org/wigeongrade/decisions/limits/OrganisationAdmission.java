package org.wigeongrade.decisions.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Admits requests under the fleet-wide limits of their organisations, from this VM's shares of them. Nothing is queued: a
 * refusal comes at once, with the time to come back.
 *
 * <p>Invariant: a refused request has taken nothing. Safe for use from any thread: all state is in {@link ShareHolder}.
 */
public final class OrganisationAdmission {
    private final ShareHolder shares;

    public OrganisationAdmission(ShareHolder shares) {
        this.shares = shares;
    }

    /** Takes the request's part of each declared limit, or nothing. */
    public AdmissionDecision admit(AdmissionRequest request, long nowNanos) {
        List<Slot> slots = new ArrayList<>();
        for (AdmissionRule rule : AdmissionRule.ALL) {
            if (!rule.applies(request)) {
                continue;
            }
            TakeResult result = rule.take(request, shares, nowNanos);
            if (result instanceof TakeResult.ComeBack comeBack) {
                slots.forEach(shares::undo);
                return new AdmissionDecision.Refused(rule.reason(), comeBack.retryAfterMs());
            }
            slots.add(((TakeResult.Taken) result).slot());
        }
        return new AdmissionDecision.Admitted(slots);
    }

    /** Ends an admitted request that used {@code usedTokens}. */
    public void finish(AdmissionDecision.Admitted admitted, long usedTokens) {
        for (Slot slot : admitted.slots()) {
            end(slot, usedTokens);
        }
    }

    private void end(Slot slot, long usedTokens) {
        switch (slot.key().kind()) {
            case ORGANISATION_TOKENS_PER_MINUTE -> shares.settle(slot, usedTokens);
            case ORGANISATION_REQUEST_RATE -> {}
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> shares.release(slot);
        }
    }
}

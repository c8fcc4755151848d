package org.wigeongrade.decisions.limits;

import com.google.common.collect.ImmutableList;

/** One limit of an organisation. Implementations are stateless. */
interface AdmissionRule {
    /** All rules in evaluation order. */
    ImmutableList<AdmissionRule> ALL =
            ImmutableList.of(new InFlightExceeded(), new RequestRateExceeded(), new TokenRateExceeded());

    AdmissionReason reason();

    /** Returns whether the limit is declared for the organisation. */
    boolean isDeclared(AdmissionRequest request);

    /** Takes what the request needs from this VM's share of the limit. */
    TakeResult take(AdmissionRequest request, HeldShares shares, long nowNanos);
}

package org.wigeongrade.decisions.limits;

/** Refuses a request of an organisation that has as many requests in flight as its limit allows. */
final class InFlightExceeded implements AdmissionRule {
    @Override
    public AdmissionReason reason() {
        return AdmissionReason.IN_FLIGHT_EXCEEDED;
    }

    @Override
    public boolean isDeclared(AdmissionRequest request) {
        return request.requestsInFlight() > 0;
    }

    @Override
    public TakeResult take(AdmissionRequest request, HeldShares shares, long nowNanos) {
        return shares.take(ShareKey.inFlight(request.organisation()), 1, nowNanos);
    }
}

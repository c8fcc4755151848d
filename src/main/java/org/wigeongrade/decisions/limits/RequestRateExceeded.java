package org.wigeongrade.decisions.limits;

/** Refuses a request of an organisation that has started as many requests per second as its limit allows. */
final class RequestRateExceeded implements AdmissionRule {
    @Override
    public AdmissionReason reason() {
        return AdmissionReason.REQUEST_RATE_EXCEEDED;
    }

    @Override
    public boolean isDeclared(AdmissionRequest request) {
        return request.requestsPerSecond() > 0;
    }

    @Override
    public TakeResult take(AdmissionRequest request, HeldShares shares, long nowNanos) {
        return shares.take(ShareKey.requestRate(request.organisation()), 1, nowNanos);
    }
}

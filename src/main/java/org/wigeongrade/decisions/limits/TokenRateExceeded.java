package org.wigeongrade.decisions.limits;

/** Refuses a request of an organisation that has used as many tokens per minute as its limit allows. */
final class TokenRateExceeded implements AdmissionRule {
    @Override
    public AdmissionReason reason() {
        return AdmissionReason.TOKEN_RATE_EXCEEDED;
    }

    @Override
    public boolean isDeclared(AdmissionRequest request) {
        return request.tokensPerMinute() > 0;
    }

    @Override
    public TakeResult take(AdmissionRequest request, HeldShares shares, long nowNanos) {
        return shares.take(ShareKey.tokensPerMinute(request.organisation()), request.estimatedTokens(), nowNanos);
    }
}

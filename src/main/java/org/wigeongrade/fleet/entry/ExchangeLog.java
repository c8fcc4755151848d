package org.wigeongrade.fleet.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.Placement;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RouteName;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.CutCause;
import org.wigeongrade.metrics.RequestOutcome;
import org.wigeongrade.metrics.RetryReason;

/** Writes the log events and metrics of one request. Used on the event loop only. */
final class ExchangeLog {
    private static final String ABSENT = "-";

    private final EntryServices services;
    private final String requestLogId;
    private final LeaseTime arrived;
    private final long arrivedNanos;
    private long firstBytesNanos;

    ExchangeLog(EntryServices services, CallerRequest request) {
        this.services = services;
        this.requestLogId = request.logId();
        this.arrived = services.leaseNow();
        this.arrivedNanos = services.nowNanos();
        services.metrics().incrementInFlight();
    }

    LeaseTime arrived() {
        return arrived;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(services.nowNanos() - arrivedNanos);
    }

    void sent(Optional<OrganisationName> organisation, RouteName route, Placement placement, long remainingMs) {
        final EndpointLoad endpoint = placement.endpoint().orElseThrow();
        services.events()
                .write(
                        LogEvent.REQUEST_SENT,
                        requestLogId,
                        organisation.map(OrganisationName::value).orElse(ABSENT),
                        route,
                        endpoint.vm(),
                        endpoint.totalInFlight(),
                        Math.round(placement.predictedMs()),
                        placement.candidates(),
                        viewAgeMs(),
                        services.registry().view().version(),
                        remainingMs);
    }

    /** Logs that the endpoint may have crashed while it ran the request. */
    void lost(
            EndpointLoad endpoint, CallerRequest request, String digest, double sinceSendMs, int events, String cause) {
        services.metrics().countLostInFlight();
        services.events()
                .write(
                        LogEvent.REQUEST_LOST,
                        requestLogId,
                        digest,
                        request.sharedPromptParts(),
                        endpoint.vm(),
                        Math.round(sinceSendMs),
                        events,
                        cause);
    }

    /** Logs that the request is sent to another entry node, which reaches endpoints. */
    void relayed(String peer, int peers, long remainingMs) {
        services.metrics().countRelayed();
        services.events().write(LogEvent.REQUEST_RELAYED, requestLogId, peer, peers, viewAgeMs(), remainingMs);
    }

    /** Logs that another entry node sent the request to this one. */
    void arrivedRelayed(int earlierAttempts) {
        services.events().write(LogEvent.RELAYED_REQUEST_ARRIVED, requestLogId, earlierAttempts);
    }

    /** Logs that the request is sent as the trial of its quarantined prompt part. */
    void trialStarted() {
        services.events().write(LogEvent.PROMPT_PART_TRIAL, requestLogId);
    }

    /** Logs that the request is sent as the trial of its own quarantine. */
    void ownTrialStarted() {
        services.events().write(LogEvent.REQUEST_TRIAL, requestLogId);
    }

    void retried(String target, RetryReason reason, String cause, boolean resumed) {
        services.metrics().countRetry(reason);
        services.events()
                .write(
                        resumed ? LogEvent.STREAM_RESUMED : LogEvent.REQUEST_RETRIED,
                        requestLogId,
                        "after " + target,
                        reason.code() + ", " + cause);
    }

    void firstBytesSent() {
        if (firstBytesNanos == 0) {
            firstBytesNanos = services.nowNanos();
            services.metrics().recordTimeToFirstByte(firstBytesNanos - arrivedNanos);
        }
    }

    void responded(String target, int status, int attempts, int events) {
        services.events()
                .write(
                        LogEvent.REQUEST_ANSWERED,
                        requestLogId,
                        status,
                        target,
                        TimeUnit.NANOSECONDS.toMillis(firstBytesNanos - arrivedNanos),
                        elapsedMs(),
                        attempts,
                        events);
        ended(RequestOutcome.COMPLETED);
    }

    void refused(Optional<OrganisationName> organisation, ErrorKind kind, String cause, long retryAfterMs) {
        services.events()
                .write(
                        LogEvent.REQUEST_REFUSED,
                        requestLogId,
                        organisation.map(OrganisationName::value).orElse(ABSENT),
                        kind.code(),
                        cause + "; after " + elapsedMs() + " ms, view " + viewAgeMs() + " ms old, retry after "
                                + retryAfterMs + " ms");
        services.metrics().countRefusal(kind);
        ended(RequestOutcome.REFUSED);
    }

    void failed(ErrorKind kind, String cause) {
        services.events().write(LogEvent.REQUEST_FAILED, requestLogId, kind.code(), elapsedMs(), cause);
        services.metrics().countRefusal(kind);
        ended(RequestOutcome.FAILED);
    }

    /** Logs that a request is not given up although its last attempt failed. */
    void kept(String step, String cause) {
        services.events().write(LogEvent.REQUEST_KEPT, requestLogId, step, cause);
    }

    /** Logs that a response that has begun is ended before it is complete. */
    void cut(CutCause cause, int events, long deadlineNanos, long configurationVersion, int sends, String detail) {
        services.metrics().countCutResponse(cause);
        services.events()
                .write(
                        LogEvent.RESPONSE_CUT,
                        requestLogId,
                        cause.code(),
                        events,
                        TimeUnit.NANOSECONDS.toMillis(deadlineNanos - services.nowNanos()),
                        configurationVersion,
                        sends,
                        detail);
    }

    /** Logs that the connection to the caller failed on this node. */
    void callerConnectionFailed(Throwable cause) {
        services.events().write(LogEvent.CALLER_CONNECTION_FAILED, requestLogId, cause);
    }

    /** Logs that the error response of an endpoint was forwarded to the caller. */
    void failedAtEndpoint(int status, String cause) {
        services.events().write(LogEvent.REQUEST_FAILED, requestLogId, status, elapsedMs(), cause);
        ended(RequestOutcome.FAILED);
    }

    void cancelled() {
        services.events().write(LogEvent.REQUEST_CANCELLED, requestLogId, elapsedMs());
        ended(RequestOutcome.CANCELLED);
    }

    private long viewAgeMs() {
        return TimeUnit.NANOSECONDS.toMillis(
                services.leaseNow().nanosSince(services.registry().view().pullSent()));
    }

    private void ended(RequestOutcome outcome) {
        services.metrics().decrementInFlight();
        services.metrics().recordRequest(services.zone(), outcome, services.nowNanos() - arrivedNanos);
    }
}

package org.wigeongrade.callers;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.decisions.routing.PossibleRuns;
import org.wigeongrade.decisions.routing.Retries;
import org.wigeongrade.decisions.routing.RetryFacts;
import org.wigeongrade.decisions.routing.RetryRefusal;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.endpoints.ResponseHead;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.CutCause;

/**
 * The sequential attempts of one exchange.
 *
 * <p>Invariants: at most one attempt runs at a time, and its slot is held exactly while it runs; {@link #mayHaveRun} is
 * true while the request may have run, or may still run, in an attempt. Not thread safe; guarded by the exchange's lock.
 */
final class Attempts {
    private final CallerDependencies dependencies;
    private final Dispatcher dispatcher;
    private final Retries retries;
    private final DecisionRecorder decisions;
    private final RouteTarget target;
    private final RequestId requestId;
    private final String requestDigest;
    private final boolean idempotent;
    private final int maxAttempts;
    private final long deadlineNanos;

    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    private AvailabilityZone lastZone;
    private int count;
    private final PossibleRuns<AttemptProgress> runs = new PossibleRuns<>(0);
    private Optional<AttemptEvent> lastFailure = Optional.empty();
    private Optional<AttemptProgress> current = Optional.empty();
    private Optional<SendHandle> currentHandle = Optional.empty();

    Attempts(
            CallerDependencies dependencies,
            Dispatcher dispatcher,
            DecisionRecorder decisions,
            RouteTarget target,
            RequestId requestId,
            String requestDigest,
            boolean idempotent,
            int maxAttempts,
            long deadlineNanos) {
        this.dependencies = dependencies;
        this.dispatcher = dispatcher;
        this.retries = new Retries(dependencies.entry().retryBudget());
        this.decisions = decisions;
        this.target = target;
        this.requestId = requestId;
        this.requestDigest = requestDigest;
        this.idempotent = idempotent;
        this.maxAttempts = maxAttempts;
        this.deadlineNanos = deadlineNanos;
        this.lastZone = dependencies.entry().zone();
        retries.recordFirstAttempt(target);
    }

    /** Begins an attempt on the endpoint whose slot was acquired. */
    AttemptProgress begin(DispatchResult.Ready dispatch) {
        count++;
        lastZone = dispatch.endpoint().zone();
        final AttemptProgress attempt = new AttemptProgress(new AttemptId(requestId.value() + "." + count), dispatch);
        current = Optional.of(attempt);
        runs.recordSent(attempt);
        dispatcher.recordStart(requestDigest, dispatch);
        return attempt;
    }

    /** Stores the handle that cancels the running attempt. */
    void setHandle(SendHandle handle) {
        currentHandle = Optional.of(handle);
    }

    boolean isCurrent(AttemptProgress attempt) {
        return current.filter(attempt::equals).isPresent();
    }

    /** Cancels the connection of the running attempt. */
    void cancelConnection() {
        currentHandle.ifPresent(SendHandle::cancel);
    }

    /**
     * Ends the running attempt because the caller disconnected. Returns its handle, if there is one, which must be
     * cancelled outside the lock.
     */
    Optional<SendHandle> cancelCurrent() {
        final Optional<SendHandle> handle = currentHandle;
        current.ifPresent(attempt -> end(attempt, attempt.cancelledOutcome()));
        return handle;
    }

    /** Ends the running attempt after its complete response. */
    void recordResponse(AttemptProgress attempt) {
        end(attempt, new AttemptOutcome(AttemptEvent.ANSWERED));
        dispatcher.recordResponse(attempt.dispatch(), attempt.head().isFromColdEndpoint());
        final String endpoint = attempt.dispatch().endpoint().id().value();
        decisions.add(endpoint, "answered", "status " + attempt.head().status() + ", attempt " + count);
    }

    /**
     * Ends the running attempt as failed. Returns the error for the caller if the request must not be retried, or empty
     * if it may be.
     *
     * @param resumable whether another attempt can continue the part of the response that the caller already has
     * @param resumed whether the caller already has a part of the response
     */
    Optional<WigeongradeException> recordFailure(
            AttemptProgress attempt, AttemptOutcome outcome, String detail, boolean resumable, boolean resumed) {
        end(attempt, outcome);
        lastFailure = Optional.of(outcome.event());
        if (outcome.runStatus() == RunStatus.NOT_RUN) {
            runs.recordNotRun(attempt);
        }
        final String endpoint = attempt.dispatch().endpoint().id().value();
        final Optional<RetryRefusal> refusal = retries.refusal(new RetryFacts(
                target,
                outcome.runStatus(),
                idempotent,
                resumable,
                count,
                runs.total(),
                maxAttempts,
                deadlineNanos,
                dependencies.entry().nowNanos()));
        if (refusal.isPresent()) {
            final String code = refusal.get().code();
            decisions.add(
                    endpoint, "not retried", code + " after " + outcome.event().code());
            return Optional.of(new WigeongradeException(
                    outcome.event().errorKind().orElse(ErrorKind.ENDPOINT_FAILED),
                    "endpoint " + endpoint + ": " + detail + "; not retried: " + code));
        }
        triedEndpoints.add(attempt.dispatch().endpoint().id());
        recordRetry(endpoint, outcome.event(), detail, resumed);
        return Optional.empty();
    }

    /**
     * Records the head of the attempt's response, and reports the endpoint to every entry VM as cold if the response
     * says so and this was not yet known.
     */
    void recordHead(AttemptProgress attempt, ResponseHead head) {
        attempt.recordHead(head);
        dispatcher.recordOpened();
        final EndpointView endpoint = attempt.dispatch().endpoint();
        if (attempt.head().isFromColdEndpoint() && !endpoint.cold()) {
            dependencies
                    .coldSigns()
                    .report(endpoint.id(), "its response says that it is cold", endpoint.coldCapacity());
        }
    }

    /** Logs and counts that the response, of which the caller has a part, is ended before it is complete. */
    void recordCut(WigeongradeException failure, long events) {
        final long remainingNanos = deadlineNanos - dependencies.entry().nowNanos();
        final CutCause cause = remainingNanos <= 0 ? CutCause.DEADLINE_PASSED : cutCauseOf(failure.kind());
        dependencies.metrics().countCutResponse(cause);
        dependencies
                .events()
                .write(
                        LogEvent.RESPONSE_CUT,
                        requestId,
                        cause.code(),
                        events,
                        TimeUnit.NANOSECONDS.toMillis(remainingNanos),
                        dependencies.entry().view().revision(),
                        count,
                        failure.getMessage());
    }

    private CutCause cutCauseOf(ErrorKind kind) {
        if (kind == ErrorKind.REQUEST_QUARANTINED) {
            return CutCause.REQUEST_QUARANTINED;
        }
        return lastFailure.filter(event -> event == AttemptEvent.STALLED).isPresent()
                ? CutCause.ENDPOINT_SILENT
                : CutCause.ENDPOINT_BROKE_OFF;
    }

    /**
     * Returns the failure, or one of kind {@code unknownKind} if the failure would tell the caller that the request did
     * not run although an earlier attempt may have run it.
     */
    WigeongradeException withCorrectRunStatus(WigeongradeException failure, ErrorKind unknownKind) {
        if (!mayHaveRun() || failure.kind().runStatus() != RunStatus.NOT_RUN) {
            return failure;
        }
        return new WigeongradeException(
                unknownKind,
                "an earlier attempt may have run; the request then failed: " + failure.getMessage(),
                failure);
    }

    ImmutableSet<EndpointId> triedEndpoints() {
        return ImmutableSet.copyOf(triedEndpoints);
    }

    /** Allows new attempts on the endpoints that were already tried. */
    void clearTriedEndpoints() {
        triedEndpoints.clear();
    }

    int count() {
        return count;
    }

    boolean mayHaveRun() {
        return runs.total() > 0;
    }

    /** Returns the zone of the last attempt's endpoint, or this VM's own zone if there was no attempt. */
    AvailabilityZone lastZone() {
        return lastZone;
    }

    private void end(AttemptProgress attempt, AttemptOutcome outcome) {
        current = Optional.empty();
        currentHandle = Optional.empty();
        dispatcher.releaseSlot(attempt.dispatch(), outcome.event());
        if (outcome.event().mayIndicateCrash()) {
            dispatcher.recordLoss(requestDigest, attempt.dispatch());
            return;
        }
        dependencies
                .entry()
                .suspects()
                .end(
                        requestDigest,
                        attempt.dispatch().incarnation(),
                        outcome.event(),
                        dependencies.entry().nowNanos());
    }

    private void recordRetry(String endpoint, AttemptEvent event, String detail, boolean resumed) {
        decisions.add(endpoint, "retried", event.code() + ": " + detail);
        dependencies.metrics().countRetry(RetryReasons.of(event, resumed));
        final LogEvent logged = resumed ? LogEvent.STREAM_RESUMED : LogEvent.REQUEST_RETRIED;
        dependencies.events().write(logged, requestId, endpoint, event.code());
    }
}

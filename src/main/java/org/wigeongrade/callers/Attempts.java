package org.wigeongrade.callers;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.decisions.routing.Retries;
import org.wigeongrade.decisions.routing.RetryFacts;
import org.wigeongrade.decisions.routing.RetryRefusal;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunClaim;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;

/**
 * The attempts of one exchange, one after another.
 *
 * <p>Invariants: at most one attempt runs, and its slot is held exactly while it does; {@link #mayHaveRun} is true from
 * the first attempt on that is not known not to have run. Not thread safe; the exchange's lock guards it.
 */
final class Attempts {
    private final CallerServices services;
    private final Dispatcher dispatcher;
    private final Retries retries;
    private final DecisionNotes notes;
    private final RouteTarget target;
    private final RequestId requestId;
    private final String requestDigest;
    private final boolean idempotent;
    private final int maxAttempts;
    private final long deadlineNanos;

    private final Set<EndpointId> tried = new HashSet<>();
    private AvailabilityZone zone;
    private int made;
    private boolean mayHaveRun;
    private Optional<AttemptProgress> running = Optional.empty();
    private Optional<SendHandle> sending = Optional.empty();

    Attempts(
            CallerServices services,
            Dispatcher dispatcher,
            DecisionNotes notes,
            RouteTarget target,
            RequestId requestId,
            String requestDigest,
            boolean idempotent,
            int maxAttempts,
            long deadlineNanos) {
        this.services = services;
        this.dispatcher = dispatcher;
        this.retries = new Retries(services.entry().retries());
        this.notes = notes;
        this.target = target;
        this.requestId = requestId;
        this.requestDigest = requestDigest;
        this.idempotent = idempotent;
        this.maxAttempts = maxAttempts;
        this.deadlineNanos = deadlineNanos;
        this.zone = services.entry().zone();
        retries.firstAttempt(target);
    }

    /** Begins an attempt at the endpoint whose slot was taken. */
    AttemptProgress begin(Dispatch.Ready ready) {
        made++;
        zone = ready.endpoint().zone();
        final AttemptProgress begun = new AttemptProgress(new AttemptId(requestId.value() + "." + made), ready);
        running = Optional.of(begun);
        dispatcher.begun(requestDigest, ready);
        return begun;
    }

    /** Notes how the running attempt can be cancelled. */
    void sent(SendHandle handle) {
        sending = Optional.of(handle);
    }

    boolean isRunning(AttemptProgress attempt) {
        return running.filter(attempt::equals).isPresent();
    }

    /** Cancels the connection of the running attempt. */
    void cancelConnection() {
        sending.ifPresent(SendHandle::cancel);
    }

    /** Ends the running attempt because the caller is gone; the handle, if any, is to be cancelled outside the lock. */
    Optional<SendHandle> callerGone() {
        final Optional<SendHandle> handle = sending;
        running.ifPresent(attempt -> end(attempt, attempt.callerGone()));
        return handle;
    }

    /** Ends the running attempt with its whole answer. */
    void answered(AttemptProgress attempt) {
        end(attempt, new AttemptOutcome(AttemptEvent.ANSWERED));
        dispatcher.answered(attempt.ready(), attempt.head().statesCold());
        final String endpoint = attempt.ready().endpoint().id().value();
        notes.add(endpoint, "answered", "status " + attempt.head().status() + ", attempt " + made);
    }

    /**
     * Ends the running attempt as failed. Returns why the request is not tried again, or nothing if it may be.
     *
     * @param resumable whether another attempt can go on after what the caller has
     * @param resumed whether the caller has a part of the answer
     */
    Optional<WigeongradeException> failed(
            AttemptProgress attempt, AttemptOutcome outcome, String detail, boolean resumable, boolean resumed) {
        end(attempt, outcome);
        mayHaveRun |= outcome.claim() != RunClaim.NOT_RUN;
        final String endpoint = attempt.ready().endpoint().id().value();
        final Optional<RetryRefusal> refusal = retries.refusal(new RetryFacts(
                target,
                outcome.claim(),
                idempotent,
                resumable,
                made,
                maxAttempts,
                deadlineNanos,
                services.entry().nowNanos()));
        if (refusal.isPresent()) {
            final String code = refusal.get().code();
            notes.add(
                    endpoint, "not retried", code + " after " + outcome.event().code());
            return Optional.of(new WigeongradeException(
                    outcome.event().errorKind().orElse(ErrorKind.ENDPOINT_FAILED),
                    "endpoint " + endpoint + ": " + detail + "; not retried: " + code));
        }
        tried.add(attempt.ready().endpoint().id());
        noteRetry(endpoint, outcome.event(), detail, resumed);
        return Optional.empty();
    }

    /** Tells every entry VM if the running attempt's answer says that its endpoint is cold, unless that is known. */
    void noteColdSign(AttemptProgress attempt) {
        final EndpointView endpoint = attempt.ready().endpoint();
        if (attempt.head().statesCold() && !endpoint.cold()) {
            services.coldSigns().seen(endpoint.id(), "its answer says so", endpoint.coldCapacity());
        }
    }

    /** Returns the failure, or one of {@code unknown} if it would claim "not run" after an attempt that may have run. */
    WigeongradeException truthful(WigeongradeException failure, ErrorKind unknown) {
        if (!mayHaveRun || failure.kind().runClaim() != RunClaim.NOT_RUN) {
            return failure;
        }
        return new WigeongradeException(
                unknown, "an earlier attempt may have run; then: " + failure.getMessage(), failure);
    }

    ImmutableSet<EndpointId> tried() {
        return ImmutableSet.copyOf(tried);
    }

    /** Lets the endpoints that were tried before be tried again. */
    void forgetTried() {
        tried.clear();
    }

    int made() {
        return made;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the zone of the last endpoint, or this VM's own if there was none. */
    AvailabilityZone zone() {
        return zone;
    }

    private void end(AttemptProgress attempt, AttemptOutcome outcome) {
        running = Optional.empty();
        sending = Optional.empty();
        dispatcher.ended(attempt.ready(), outcome.event());
        if (outcome.event().mayBeCrash()) {
            services.entry().suspects().lost(requestDigest, attempt.ready().life());
            services.pullSoon().run();
            return;
        }
        services.entry().suspects().end(requestDigest, attempt.ready().life(), outcome.event());
    }

    private void noteRetry(String endpoint, AttemptEvent event, String detail, boolean resumed) {
        notes.add(endpoint, "retried", event.code() + ": " + detail);
        services.metrics().retried(RetryReasons.of(event, resumed));
        final LogEvent logged = resumed ? LogEvent.STREAM_RESUMED : LogEvent.REQUEST_RETRIED;
        services.events().write(logged, requestId, endpoint, event.code());
    }
}

package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.balancing.BalancedRequest;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.Placement;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.Route;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.metrics.RetryReason;

/**
 * One request of a caller, from its arrival to the end of its answer. Used on the event loop only.
 *
 * <p>Invariants: a request that may have run is sent once more only if its route allows it; a refusal is given only if no
 * endpoint can have run the request; exactly one answer is given, unless the caller leaves before.
 */
final class Exchange {
    /** Sends of one request at most, those that no endpoint ran included. */
    private static final int MAX_SENDS = 4;
    /** A node that has just started knows a leader by then, if the whole fleet starts: its longest election and a pull. */
    private static final long STARTING_RETRY_MS = 1_500;
    /** A send with less time left than this cannot be answered in time, in milliseconds. */
    private static final long SHORTEST_SEND_MS = 5;

    private final EntryServices services;
    private final CallerRequest request;
    private final CallerLink caller;
    private final Runnable onOver;
    private final ExchangeLog log;
    private final Set<VmName> tried = new HashSet<>();
    private Optional<Route> route = Optional.empty();
    private Optional<OrganisationName> organisation = Optional.empty();
    private Optional<PublishedService> service = Optional.empty();
    private Optional<Send> current = Optional.empty();
    private Optional<ScheduledFuture<?>> deadlineTimer = Optional.empty();
    private final RelayedStream stream = new RelayedStream();
    private Optional<WholeAnswer> failedAnswer = Optional.empty();
    private long deadlineNanos;
    private int sends;
    private int mayHaveRun;
    private boolean over;

    Exchange(EntryServices services, CallerRequest request, CallerLink caller, Runnable onOver) {
        this.services = services;
        this.request = request;
        this.caller = caller;
        this.onOver = onOver;
        this.log = new ExchangeLog(services, request);
    }

    /** Routes and sends the request, or refuses it. */
    void start() {
        services.allowance().requested(log.arrivedNanos());
        final Optional<PublishedConfiguration> configuration =
                services.fleet().view().configuration();
        if (configuration.isEmpty()) {
            refuse(ErrorKind.NO_VIEW_LEASE, "no configuration is known yet", STARTING_RETRY_MS);
            return;
        }
        route = configuration.get().route(request.hostname(), request.path());
        if (route.isEmpty()) {
            fail(ErrorKind.NOT_FOUND, "no route of host " + request.hostname() + " begins the path");
            return;
        }
        setDeadline(route.get());
        if (identify(configuration.get(), route.get())) {
            final ServiceName target = route.get().targetAt(services.random().nextDouble());
            service = configuration.get().service(target);
            send();
        }
    }

    /** Takes the news that the caller has left. */
    void callerLeft() {
        if (!over) {
            current.ifPresent(Send::cancel);
            log.cancelled();
            end();
        }
    }

    /** Takes the news of whether the caller reads what is written. */
    void callerReads(boolean reads) {
        current.ifPresent(send -> send.call.read(reads));
    }

    private void setDeadline(Route known) {
        final long waitMs = Math.min(known.timeoutMs(), request.callerWaitsMs().orElse(known.timeoutMs()));
        deadlineNanos = log.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        deadlineTimer =
                Optional.of(services.loop().loop().schedule(this::deadlinePassed, waitMs, TimeUnit.MILLISECONDS));
    }

    /** Finds the organisation of the request's key; refuses the request and returns false if there is none. */
    private boolean identify(PublishedConfiguration configuration, Route known) {
        if (known.anonymous() || !configuration.requiresKeys()) {
            return true;
        }
        if (!services.keysAreFresh(log.arrivedNanos())) {
            refuse(
                    ErrorKind.NO_VIEW_LEASE,
                    "the keys known here are too old, version " + configuration.version(),
                    ErrorKind.STOPPING.retryAfterMs());
            return false;
        }
        organisation = request.key().flatMap(configuration::organisationOf);
        if (organisation.isEmpty()) {
            fail(ErrorKind.UNAUTHENTICATED, "the key is not that of an organisation");
        }
        return organisation.isPresent();
    }

    private void send() {
        final long nowNanos = services.nowNanos();
        final long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
        if (remainingMs < SHORTEST_SEND_MS) {
            deadlinePassed();
            return;
        }
        if (isQuarantined()) {
            giveUp(
                    ErrorKind.SUSPECT_WAITING,
                    "this request has crashed endpoints",
                    ErrorKind.SUSPECT_WAITING.retryAfterMs());
            return;
        }
        if (!hasUsableKey(nowNanos)) {
            giveUp(ErrorKind.NO_VIEW_LEASE, "the keys known here are too old", ErrorKind.STOPPING.retryAfterMs());
            return;
        }
        final Placement placement = place(mayHaveRun > 0, remainingMs, nowNanos);
        if (placement.endpoint().isEmpty()) {
            final boolean busy = placement.refusal().equals(Optional.of(Placement.Refusal.ALL_BUSY));
            giveUp(
                    busy ? ErrorKind.NO_FREE_SLOT : ErrorKind.NO_WHOLE_GROUP,
                    (busy ? "busy: " : "none: ") + placement.candidates() + " endpoints of "
                            + service.orElseThrow().name() + " for "
                            + model().map(ModelVersionName::value).orElse("any request"),
                    placement.retryAfterMs());
            return;
        }
        sendTo(placement, remainingMs, nowNanos);
    }

    /** Returns whether the request needs no key, or its key is known by a view that is young enough. */
    private boolean hasUsableKey(long nowNanos) {
        return organisation.isEmpty() || services.keysAreFresh(nowNanos);
    }

    /** Chooses where the request goes; {@code begun} tells whether giving it up would waste work. */
    private Placement place(boolean begun, long remainingMs, long nowNanos) {
        final PublishedService target = service.orElseThrow();
        final Optional<ModelVersionName> model = model();
        return services.balancer()
                .place(
                        new BalancedRequest(
                                request.promptTokens(),
                                route.orElseThrow().targetLatencyMs(),
                                route.get().targetPauseMs(),
                                remainingMs,
                                ImmutableSet.copyOf(tried),
                                begun,
                                services.zone()),
                        services.fleet().candidates(target.name(), model, nowNanos),
                        services.fleet().engine(model),
                        services.coldLimits()
                                .limitsFor(target, services.fleet().view().entryNodes()),
                        nowNanos);
    }

    private void sendTo(Placement placement, long remainingMs, long nowNanos) {
        final EndpointLoad endpoint = placement.endpoint().orElseThrow();
        sends++;
        tried.add(endpoint.vm().vm());
        log.sent(organisation, route.orElseThrow().name(), placement, remainingMs);
        final Send send = new Send(this, endpoint, services.fleet().engine(model()), placement.predictedMs(), nowNanos);
        current = Optional.of(send);
        endpoint.sent(nowNanos);
        final SendTerms terms =
                new SendTerms(remainingMs, endpoint.vm().vm(), organisation, stream.resumeAfter(request));
        send.start(
                services.codec().encode(request, terms, endpoint.address()),
                route.get().mayRepeat());
    }

    private Optional<ModelVersionName> model() {
        final boolean grouped = service.flatMap(PublishedService::engine).isPresent();
        return grouped ? request.model().filter(name -> !name.isBlank()).map(Exchange::modelName) : Optional.empty();
    }

    private static ModelVersionName modelName(String text) {
        try {
            return ModelVersionName.of(text);
        } catch (IllegalArgumentException e) {
            return ModelVersionName.of("malformed");
        }
    }

    private boolean isQuarantined() {
        final Set<String> quarantined = services.fleet().view().quarantined();
        return !quarantined.isEmpty() && quarantined.contains(digest());
    }

    /** Returns what is the same each time that a caller sends this request. */
    String digest() {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(organisation.map(OrganisationName::value).orElse("-"), StandardCharsets.UTF_8)
                .putString(request.method(), StandardCharsets.UTF_8)
                .putString(request.target(), StandardCharsets.UTF_8)
                .putBytes(request.body().array())
                .hash()
                .toString();
    }

    EntryServices services() {
        return services;
    }

    CallerRequest request() {
        return request;
    }

    Route route() {
        return route.orElseThrow();
    }

    RelayedStream stream() {
        return stream;
    }

    CallerLink caller() {
        return caller;
    }

    ExchangeLog log() {
        return log;
    }

    /** Takes the news that the endpoint did not run the request. */
    void notRun(Send send, RetryReason reason, String cause) {
        current = Optional.empty();
        if (sends >= MAX_SENDS) {
            giveUp(ErrorKind.ENDPOINT_REFUSED, cause, ErrorKind.ENDPOINT_REFUSED.retryAfterMs());
            return;
        }
        if (reason == RetryReason.ENDPOINT_REFUSED && !mayRepeatNow()) {
            giveUp(ErrorKind.RETRY_BUDGET_SPENT, cause, ErrorKind.ENDPOINT_REFUSED.retryAfterMs());
            return;
        }
        retry(send, reason, cause);
    }

    /** Takes the news that the endpoint may have run the request and gave no whole answer. */
    void mayHaveRun(Send send, RetryReason reason, String cause) {
        current = Optional.empty();
        mayHaveRun++;
        final boolean repeatable = route.orElseThrow().mayRepeat()
                && mayHaveRun < route.get().maxAttempts()
                && sends < MAX_SENDS
                && stream.isResumable();
        if (repeatable && mayRepeatNow()) {
            retry(send, reason, cause);
            return;
        }
        giveUp(route.get().mayRepeat() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.OUTCOME_UNKNOWN, cause, 0);
    }

    /** Takes a whole answer of an endpoint that failed; it is passed on if no other endpoint does better. */
    void answeredWithFailure(Send send, WholeAnswer answer) {
        failedAnswer = Optional.of(answer);
        mayHaveRun(send, RetryReason.ENDPOINT_FAILED, "the endpoint answered " + answer.status());
    }

    /**
     * Returns whether another endpoint may take the request over from one that stands still; counts the send if so.
     * {@link #movedFrom} must follow.
     */
    boolean tryMove() {
        return canMove() && mayRepeatNow();
    }

    /** Sends the request to another endpoint after {@link #tryMove}. */
    void movedFrom(Send send, RetryReason reason, String cause) {
        current = Optional.empty();
        mayHaveRun++;
        retry(send, reason, cause);
    }

    /** A request that stands still moves only if another endpoint takes it for sure; it may yet go on where it is. */
    private boolean canMove() {
        final long nowNanos = services.nowNanos();
        final long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
        return route.orElseThrow().mayRepeat()
                && mayHaveRun + 1 < route.get().maxAttempts()
                && sends < MAX_SENDS
                && remainingMs >= SHORTEST_SEND_MS
                && stream.isResumable()
                && hasUsableKey(nowNanos)
                && !isQuarantined()
                && place(true, remainingMs, nowNanos)
                        .endpoint()
                        .filter(endpoint -> !endpoint.isAvoided(nowNanos))
                        .isPresent();
    }

    private boolean mayRepeatNow() {
        return services.allowance().tryRepeat(services.fleet().view().entryNodes(), services.nowNanos());
    }

    private void retry(Send send, RetryReason reason, String cause) {
        log.retried(send.endpoint(), reason, cause, stream.hasBegun());
        send();
    }

    /** Passes a whole answer on. */
    void answered(Send send, WholeAnswer answer) {
        current = Optional.empty();
        log.firstBytes();
        caller.answer(answer.status(), answer.headers(), answer.body());
        log.answered(send.endpoint(), answer.status(), sends, 0);
        end();
    }

    /** Ends a stream whose last event was passed on. */
    void streamed(Send send) {
        current = Optional.empty();
        caller.endStream();
        log.answered(send.endpoint(), stream.status(), sends, stream.events());
        end();
    }

    private void deadlinePassed() {
        if (over) {
            return;
        }
        current.ifPresent(Send::cancel);
        final boolean sent = mayHaveRun > 0 || current.isPresent();
        current = Optional.empty();
        if (sent) {
            giveUpAsMayHaveRun(ErrorKind.ENDPOINT_TIMEOUT, "the deadline passed", 0);
        } else {
            refuse(ErrorKind.NO_FREE_SLOT, "the deadline passed before the request was sent", 0);
        }
    }

    private void giveUp(ErrorKind kind, String cause, long retryAfterMs) {
        if (mayHaveRun > 0) {
            giveUpAsMayHaveRun(
                    route.orElseThrow().mayRepeat() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.OUTCOME_UNKNOWN,
                    kind.code() + ", " + cause,
                    0);
            return;
        }
        if (stream.hasBegun() || kind.httpStatus() != ErrorKind.NO_FREE_SLOT.httpStatus()) {
            giveUpAsMayHaveRun(kind, cause, retryAfterMs);
            return;
        }
        refuse(kind, cause, retryAfterMs);
    }

    private void giveUpAsMayHaveRun(ErrorKind kind, String cause, long retryAfterMs) {
        if (stream.hasBegun()) {
            log.failed(kind, cause);
            caller.breakOff();
        } else if (failedAnswer.isPresent()) {
            final WholeAnswer answer = failedAnswer.get();
            log.failedAtEndpoint(answer.status(), cause);
            caller.answer(answer.status(), answer.headers(), answer.body());
        } else {
            log.failed(kind, cause);
            caller.answer(services.codec().error(request, kind, cause, retryAfterMs));
        }
        end();
    }

    private void fail(ErrorKind kind, String cause) {
        giveUpAsMayHaveRun(kind, cause, 0);
    }

    /** Answers that the request has not run; the caller may come back after the time. */
    private void refuse(ErrorKind kind, String cause, long retryAfterMs) {
        log.refused(organisation, kind, cause, retryAfterMs);
        caller.answer(services.codec().error(request, kind, cause, retryAfterMs));
        end();
    }

    private void end() {
        over = true;
        deadlineTimer.ifPresent(timer -> timer.cancel(false));
        onOver.run();
    }
}

package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.Placement;
import org.wigeongrade.decisions.balancing.PlacementRequest;
import org.wigeongrade.decisions.outcomes.StreamContinuation;
import org.wigeongrade.decisions.overload.RequestUrgency;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.RequestRank;
import org.wigeongrade.decisions.published.Route;
import org.wigeongrade.decisions.routing.PossibleRuns;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.metrics.CutCause;
import org.wigeongrade.metrics.RetryReason;

/**
 * A caller's request and its response, with all attempts at endpoints. Used on the event loop only.
 *
 * <p>Invariants: a request that may have run is retried only if its route allows it; a request is refused only if no
 * endpoint can have run it; exactly one response is written, unless the caller disconnects before; a request leaves a
 * silent endpoint only for one that answers it; a stream that has begun is given up only as {@link StreamContinuation}
 * decides, at its deadline, when the node ends or when its caller leaves.
 */
final class Exchange {
    /** Maximum of attempts for one request, including those that no endpoint ran. */
    private static final int MAX_ATTEMPTS = 4;
    /** Maximum of entry nodes that one request is relayed to, one after the other. */
    private static final int MAX_RELAYS = 3;
    /** Retry-After of a node without a view; covers the longest election and one pull when the whole fleet starts. */
    private static final long STARTUP_RETRY_AFTER_MS = 1_500;
    /** With less time left, in milliseconds, an attempt cannot complete before the deadline. */
    private static final long MIN_ATTEMPT_MS = 5;

    /** Reasons to refuse a relayed request that depend on the node. */
    private static final ImmutableSet<ErrorKind> OTHER_NODE_MAY_TAKE =
            ImmutableSet.of(ErrorKind.NO_ENDPOINT_REACHABLE, ErrorKind.STOPPING, ErrorKind.NO_VIEW_LEASE);

    /** Reasons for which a begun stream finds no endpoint now, and may find one soon. */
    private static final ImmutableSet<ErrorKind> MAY_SUCCEED_LATER = ImmutableSet.of(
            ErrorKind.NO_WHOLE_GROUP,
            ErrorKind.ENDPOINTS_PAUSED,
            ErrorKind.NO_FREE_SLOT,
            ErrorKind.NO_ENDPOINT_REACHABLE,
            ErrorKind.NO_VIEW_LEASE);

    private final EntryServices services;
    private final CallerRequest request;
    private final ResponseWriter responseWriter;
    private final Runnable onEnd;
    private final ExchangeLog log;
    private final RequestQuarantine quarantine;
    private final Set<VmName> triedVms = new HashSet<>();
    private final Set<String> triedPeers = new HashSet<>();
    /** Present if another entry node relayed the request, which must not be relayed again. */
    private final Optional<RelayOrigin> origin;

    /** Version of the configuration by which the request is routed. */
    private long configurationVersion;

    private Optional<Route> route = Optional.empty();
    private Optional<OrganisationName> organisation = Optional.empty();
    private Optional<PublishedService> service = Optional.empty();
    /** Empty if the configuration gives the same rank to all requests of the service. */
    private Optional<RequestRank> rank = Optional.empty();

    private Optional<Attempt> currentAttempt = Optional.empty();
    /** The attempt that was left for its silence, until another one has answered the request or continued its stream. */
    private Optional<Attempt> silentAttempt = Optional.empty();

    private Optional<ScheduledFuture<?>> deadlineTimer = Optional.empty();
    private final RelayedStream stream = new RelayedStream();
    private final StreamContinuation continuation = new StreamContinuation();
    private Optional<BufferedResponse> errorResponse = Optional.empty();
    private OptionalLong latestDeadlineNanos = OptionalLong.empty();
    /** Until when this node waits for a response. */
    private long deadlineNanos;
    /** Until when the caller waits; an endpoint is told no later time, even if this VM was suspended. */
    private LeaseTime callersDeadline;

    private int attempts;
    private int relays;
    private final PossibleRuns<Attempt> runs;

    private boolean ended;
    private boolean callerReads = true;

    Exchange(EntryServices services, CallerRequest request, ResponseWriter responseWriter, Runnable onEnd) {
        this(services, request, Optional.empty(), responseWriter, onEnd);
    }

    /**
     * @param origin what the entry node that relayed the request had decided; empty if its caller sent it to this node
     */
    Exchange(
            EntryServices services,
            CallerRequest request,
            Optional<RelayOrigin> origin,
            ResponseWriter responseWriter,
            Runnable onEnd) {
        this.services = services;
        this.request = request;
        this.origin = origin;
        this.runs = new PossibleRuns<>(origin.map(RelayOrigin::earlierAttempts).orElse(0));
        this.responseWriter = responseWriter;
        this.onEnd = onEnd;
        this.log = new ExchangeLog(services, request);
        this.quarantine = new RequestQuarantine(services, request);
        if (origin.isPresent()) {
            log.arrivedRelayed(runs.total());
        }
    }

    /** Routes and sends the request, or responds with an error. */
    void start() {
        recordInRetryBudget();
        final Optional<PublishedConfiguration> configuration =
                services.registry().view().configuration();
        if (configuration.isEmpty()) {
            refuse(ErrorKind.NO_VIEW_LEASE, "no configuration has been received yet", STARTUP_RETRY_AFTER_MS);
            return;
        }
        configurationVersion = configuration.get().version();
        route = configuration.get().route(request.hostname(), request.path());
        if (route.isEmpty()) {
            failAsAbsent(
                    ErrorKind.NOT_FOUND,
                    "no route of host " + request.hostname() + " matches the path, " + describeView());
            return;
        }
        setDeadline(route.get());
        if (authenticate(configuration.get(), route.get())) {
            sendToService(configuration.get(), chooseService(configuration.get()));
        }
    }

    private void sendToService(PublishedConfiguration configuration, Optional<ServiceName> target) {
        if (target.isEmpty()) {
            refuse(
                    ErrorKind.NO_VIEW_LEASE,
                    "the route of this view does not lead to the service that the relaying node chose, "
                            + describeView(),
                    ErrorKind.NO_VIEW_LEASE.retryAfterMs());
            return;
        }
        service = configuration.service(target.get());
        rank = configuration.rankOf(target.get(), organisation, route.orElseThrow());
        send();
    }

    /**
     * Chooses a service of the route. For a request that a node with a newer configuration relayed, that is the service
     * that it chose; empty if the older configuration does not allow it.
     */
    private Optional<ServiceName> chooseService(PublishedConfiguration configuration) {
        final Optional<ServiceName> chosenByOrigin =
                isOlderThanOrigin() ? origin.flatMap(RelayOrigin::service) : Optional.empty();
        return chosenByOrigin.isPresent()
                ? chosenByOrigin.filter(chosen -> configuration.service(chosen).isPresent()
                        && route.orElseThrow().targets().stream()
                                .anyMatch(target -> target.service().equals(chosen)))
                : Optional.of(route.orElseThrow().targetAt(services.random().nextDouble()));
    }

    /** Returns whether an entry node with a newer configuration relayed the request. */
    private boolean isOlderThanOrigin() {
        return origin.filter(known -> known.configurationVersion() > configurationVersion)
                .isPresent();
    }

    /** Sets when the node ends. The request is not sent to an endpoint that would respond later. */
    void limitDeadline(long latestNanos) {
        latestDeadlineNanos = OptionalLong.of(latestNanos);
    }

    /** Refuses the request unsent, because this node ends before it could be finished. */
    void refuseWhileStopping() {
        refuse(ErrorKind.STOPPING, "this node is about to end", ErrorKind.STOPPING.retryAfterMs());
    }

    /** Ends the request with an error, because this node ends before it has its response. */
    void failWhileStopping() {
        final ErrorKind kindIfSent =
                route.filter(Route::mayRetry).isPresent() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.OUTCOME_UNKNOWN;
        endUnfinished(
                CutCause.NODE_STOPPED,
                kindIfSent,
                ErrorKind.STOPPING,
                ErrorKind.STOPPING.retryAfterMs(),
                "this node ends");
    }

    /** Of the nodes that handle a request, the first that may send it to an endpoint counts it for the budget. */
    private void recordInRetryBudget() {
        final boolean sentElsewhere = services.endpointLinks().areCut() || runs.total() > 0;
        if (!sentElsewhere) {
            services.retryBudget().recordRequest(log.arrivedNanos());
        }
    }

    /** Logs that the connection to the caller fails on this node; {@link #onCallerDisconnected} follows. */
    void onCallerConnectionFailed(Throwable cause) {
        log.callerConnectionFailed(cause);
    }

    /**
     * Cancels the request after the connection to the caller has closed.
     *
     * @param cause why this node closed it; empty if the caller did
     */
    void onCallerDisconnected(Optional<CutCause> cause) {
        if (!ended) {
            cause.filter(known -> stream.hasBegun())
                    .ifPresent(known -> logCut(known, "the connection to the caller was closed"));
            currentAttempt.ifPresent(Attempt::cancel);
            log.cancelled();
            end();
        }
    }

    /** Pauses reading from the endpoint while the caller's connection is not writable. */
    void onCallerWritabilityChanged(boolean writable) {
        callerReads = writable;
        currentAttempt.ifPresent(attempt -> attempt.setReading(writable));
        silentAttempt.ifPresent(attempt -> attempt.setReading(writable));
    }

    private void setDeadline(Route matched) {
        final long waitMs = Math.min(matched.timeoutMs(), request.timeoutMs().orElse(matched.timeoutMs()));
        final long callersNanos = log.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        callersDeadline = log.arrived().plusNanos(TimeUnit.MILLISECONDS.toNanos(waitMs));
        final long latestNanos = latestDeadlineNanos.orElse(callersNanos);
        deadlineNanos = callersNanos - latestNanos < 0 ? callersNanos : latestNanos;
        deadlineTimer =
                Optional.of(services.loop().eventLoop().schedule(this::onDeadline, waitMs, TimeUnit.MILLISECONDS));
    }

    /** Finds the organisation of the request's API key; responds with an error and returns false if there is none. */
    private boolean authenticate(PublishedConfiguration configuration, Route matched) {
        if (matched.anonymous() || !configuration.requiresKeys()) {
            return true;
        }
        if (!services.keysAreFresh(log.arrived())) {
            refuse(
                    ErrorKind.NO_VIEW_LEASE,
                    "the view with the API keys is too old, configuration version " + configuration.version(),
                    ErrorKind.STOPPING.retryAfterMs());
            return false;
        }
        organisation = request.apiKey().flatMap(configuration::organisationOf);
        if (organisation.isEmpty()) {
            failAsAbsent(
                    ErrorKind.UNAUTHENTICATED, "the API key does not belong to an organisation, " + describeView());
        }
        return organisation.isPresent();
    }

    /**
     * Ends a request for something that the view does not contain; refuses it if a configuration that must be in force,
     * or by which the request was relayed, may contain it.
     */
    private void failAsAbsent(ErrorKind kind, String cause) {
        if (services.viewIsCurrent(log.arrived()) && !isOlderThanOrigin()) {
            fail(kind, cause);
        } else {
            refuse(ErrorKind.NO_VIEW_LEASE, cause, ErrorKind.NO_VIEW_LEASE.retryAfterMs());
        }
    }

    private String describeView() {
        final long ageNanos =
                log.arrived().nanosSince(services.registry().view().pullSent());
        return "configuration version " + configurationVersion + ", view " + TimeUnit.NANOSECONDS.toMillis(ageNanos)
                + " ms old";
    }

    private void send() {
        final long nowNanos = services.nowNanos();
        final long remainingMs = remainingMs(nowNanos);
        if (remainingMs < MIN_ATTEMPT_MS) {
            onDeadline();
            return;
        }
        final Optional<String> quarantined = quarantine.find(organisation);
        if (quarantined.isPresent() && !quarantine.tryStartTrial(organisation, attempts, log)) {
            if (remainingMs >= FleetTimings.PULL_INTERVAL_MS + MIN_ATTEMPT_MS
                    && quarantine.tryAwaitTrial(organisation, attempts, nowNanos)) {
                sendLater("it waits for its trial", quarantined.get(), FleetTimings.PULL_INTERVAL_MS);
                return;
            }
            failOrRefuse(ErrorKind.SUSPECT_WAITING, quarantined.get(), ErrorKind.SUSPECT_WAITING.retryAfterMs());
            return;
        }
        if (!isKeyFresh()) {
            failOrRefuse(
                    ErrorKind.NO_VIEW_LEASE,
                    "the view with the API keys is too old",
                    ErrorKind.STOPPING.retryAfterMs());
            return;
        }
        if (services.endpointLinks().areCut()) {
            relay(remainingMs, nowNanos);
            return;
        }
        final Placement placement = place(runs.total() > 0, remainingMs, nowNanos);
        if (placement.endpoint().isEmpty()) {
            final Placement.Refusal refusal = placement.refusal().orElseThrow();
            failOrRefuse(
                    kindOf(refusal),
                    describe(refusal) + " " + placement.candidates()
                            + " endpoints of "
                            + service.orElseThrow().name() + " for "
                            + model().map(ModelVersionName::value).orElse("requests without a model")
                            + rank.map(known -> ", " + known).orElse(""),
                    placement.retryAfterMs());
            return;
        }
        sendTo(placement, remainingMs, nowNanos);
    }

    private long remainingMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(
                Math.min(deadlineNanos - nowNanos, callersDeadline.nanosSince(services.leaseNow())));
    }

    /** Sends the request to an entry node that reaches endpoints, or refuses it if there is none. */
    private void relay(long remainingMs, long nowNanos) {
        final List<String> peers = services.registry().view().relayAddresses();
        final Optional<String> peer = origin.isPresent() || relays >= MAX_RELAYS
                ? Optional.empty()
                : services.relayPeers().choose(peers, triedPeers, nowNanos);
        if (peer.isEmpty()) {
            failOrRefuse(
                    ErrorKind.NO_ENDPOINT_REACHABLE,
                    "this node reaches no endpoint; relayed to " + triedPeers.size() + " of " + peers.size()
                            + " entry nodes",
                    ErrorKind.NO_ENDPOINT_REACHABLE.retryAfterMs());
            return;
        }
        attempts++;
        relays++;
        triedPeers.add(peer.get());
        log.relayed(peer.get(), peers.size(), remainingMs);
        final RelayAttempt attempt = new RelayAttempt(this, peer.get());
        final int earlier = runs.total();
        final int granted = runs.grant(maxRuns());
        runs.recordGranted(attempt, granted);
        currentAttempt = Optional.of(attempt);
        final FullHttpRequest message =
                services.codec().encodeForEntryNode(request, remainingMs, stream.resumeAfter(request));
        RelayHeaders.mark(
                message.headers(),
                new RelayOrigin(
                        earlier, OptionalInt.of(granted), configurationVersion, service.map(PublishedService::name)));
        attempt.start(message, route.orElseThrow().mayRetry());
        pauseUnlessCallerReads(attempt);
    }

    private static ErrorKind kindOf(Placement.Refusal refusal) {
        return switch (refusal) {
            case NONE_SERVES -> ErrorKind.NO_WHOLE_GROUP;
            case ALL_PAUSED -> ErrorKind.ENDPOINTS_PAUSED;
            case ALL_BUSY -> ErrorKind.NO_FREE_SLOT;
        };
    }

    private static String describe(Placement.Refusal refusal) {
        return switch (refusal) {
            case NONE_SERVES -> "no usable endpoint among";
            case ALL_PAUSED -> "a pause asked for by each of";
            case ALL_BUSY -> "no free slot at any of";
        };
    }

    /** Returns whether the request has no organisation, or the view that confirmed its API key is recent enough. */
    private boolean isKeyFresh() {
        return organisation.isEmpty() || services.keysAreFresh(services.leaseNow());
    }

    /**
     * Chooses an endpoint; {@code mayHaveStarted} states whether failing the request now would waste work already done.
     */
    private Placement place(boolean mayHaveStarted, long remainingMs, long nowNanos) {
        final PublishedService target = service.orElseThrow();
        final Optional<ModelVersionName> model = model();
        return services.balancer()
                .place(
                        new PlacementRequest(
                                request.promptTokens(),
                                admissionTargetMs(model, nowNanos),
                                route.orElseThrow().targetPauseMs(),
                                remainingMs,
                                ImmutableSet.copyOf(triedVms),
                                mayHaveStarted,
                                services.zone()),
                        services.registry().candidates(target.name(), model, nowNanos),
                        services.registry().engine(model),
                        services.coldStartLimits()
                                .limitsFor(target, services.registry().view().entryNodes()),
                        nowNanos);
    }

    private long admissionTargetMs(Optional<ModelVersionName> model, long nowNanos) {
        final long targetMs = route.orElseThrow().targetLatencyMs();
        return model.isPresent() && rank.isPresent()
                ? services.rankedTargets().admissionTargetMs(model.get(), rank.get(), targetMs, nowNanos)
                : targetMs;
    }

    private void sendTo(Placement placement, long remainingMs, long nowNanos) {
        final EndpointLoad endpoint = placement.endpoint().orElseThrow();
        attempts++;
        triedVms.add(endpoint.vm().vm());
        log.sent(organisation, route.orElseThrow().name(), placement, remainingMs);
        final EndpointAttempt attempt = new EndpointAttempt(
                this, endpoint, services.registry().engine(model()), placement.predictedMs(), nowNanos);
        currentAttempt = Optional.of(attempt);
        runs.recordSent(attempt);
        endpoint.recordSent(nowNanos);
        final ForwardingMetadata metadata = new ForwardingMetadata(
                remainingMs,
                endpoint.vm().vm(),
                organisation,
                stream.resumeAfter(request),
                RequestUrgency.of(model().flatMap(name -> rank), attempts > 1));
        attempt.start(
                services.codec().encode(request, metadata, endpoint.address()),
                route.get().mayRetry());
        pauseUnlessCallerReads(attempt);
    }

    /** A stream that another endpoint continues is not read while the caller does not read its first part. */
    private void pauseUnlessCallerReads(Attempt attempt) {
        if (!callerReads) {
            attempt.setReading(false);
        }
    }

    private Optional<ModelVersionName> model() {
        final boolean servesModels = service.flatMap(PublishedService::engine).isPresent();
        return servesModels
                ? request.model().filter(name -> !name.isBlank()).map(Exchange::modelName)
                : Optional.empty();
    }

    private static ModelVersionName modelName(String text) {
        try {
            return ModelVersionName.of(text);
        } catch (IllegalArgumentException e) {
            return ModelVersionName.of("malformed");
        }
    }

    /** Returns a hash of the request that is the same each time a caller sends it. */
    String digest() {
        return quarantine.digest(organisation);
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

    ResponseWriter responseWriter() {
        return responseWriter;
    }

    ExchangeLog log() {
        return log;
    }

    /** Handles an attempt whose request the endpoint did not run: retries the request or ends it with an error. */
    void onNotRun(Attempt attempt, RetryReason reason, String cause) {
        runs.recordNotRun(attempt);
        if (dropSilent(attempt)) {
            return;
        }
        currentAttempt = Optional.empty();
        if (attempts >= MAX_ATTEMPTS && !services.endpointLinks().areCut()) {
            failOrRefuse(ErrorKind.ENDPOINT_REFUSED, cause, ErrorKind.ENDPOINT_REFUSED.retryAfterMs());
            return;
        }
        if (reason == RetryReason.ENDPOINT_REFUSED && !tryReserveRetry()) {
            failOrRefuse(ErrorKind.RETRY_BUDGET_SPENT, cause, ErrorKind.ENDPOINT_REFUSED.retryAfterMs());
            return;
        }
        retry(attempt, reason, cause);
    }

    /** Handles an attempt that ended without a complete response, although the endpoint may have run the request. */
    void onMayHaveRun(Attempt attempt, RetryReason reason, String cause) {
        if (dropSilent(attempt)) {
            return;
        }
        currentAttempt = Optional.empty();
        final boolean retryable = route.orElseThrow().mayRetry()
                && runs.permitsAnother(maxRuns())
                && attempts < MAX_ATTEMPTS
                && stream.isResumable();
        if (retryable && tryReserveRetry()) {
            retry(attempt, reason, cause);
            return;
        }
        failOrRefuse(route.get().mayRetry() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.OUTCOME_UNKNOWN, cause, 0);
    }

    /** Forgets an attempt that was left for its silence and has failed since; returns whether it was one. */
    private boolean dropSilent(Attempt attempt) {
        final boolean dropped = silentAttempt.filter(attempt::equals).isPresent();
        if (dropped) {
            silentAttempt = Optional.empty();
        }
        return dropped;
    }

    /** Handles an error response of another entry node that does not know all attempts of the request. */
    void onRelayFailed(Attempt attempt, String cause) {
        if (dropSilent(attempt)) {
            return;
        }
        currentAttempt = Optional.empty();
        failOrRefuse(ErrorKind.ENDPOINT_FAILED, attempt.target() + ": " + cause, 0);
    }

    /** Returns whether the route lets the request run more than once. */
    boolean mayRunTwice() {
        return route.orElseThrow().mayRetry();
    }

    /** Returns whether an endpoint may have run the request in another attempt than the given one. */
    boolean mayHaveRunBeside(Attempt attempt) {
        return runs.totalWithout(attempt) > 0;
    }

    /** Records how many runs another node has caused, out of those that it was granted. */
    void recordUsed(Attempt attempt, int used) {
        runs.recordUsed(attempt, used);
    }

    /** Lets an entry node that took the request get it once more, as it may not be at fault for the failure. */
    void allowPeerAgain(String address) {
        triedPeers.remove(address);
    }

    /** Returns how many replicas may run the request at most. */
    private int maxRuns() {
        final int ofRoute = route.orElseThrow().maxAttempts();
        final OptionalInt granted = origin.map(RelayOrigin::granted).orElse(OptionalInt.empty());
        return granted.isEmpty()
                ? ofRoute
                : Math.min(ofRoute, origin.orElseThrow().earlierAttempts() + granted.getAsInt());
    }

    private void cancel(Attempt attempt) {
        attempt.cancel();
        if (!attempt.isSent()) {
            runs.recordNotRun(attempt);
        }
    }

    /** Handles a complete error response of an endpoint; it is forwarded to the caller if no retry succeeds. */
    void onErrorResponse(Attempt attempt, BufferedResponse response) {
        releaseErrorResponse();
        errorResponse = Optional.of(response);
        onMayHaveRun(attempt, RetryReason.ENDPOINT_FAILED, "the endpoint responded with status " + response.status());
    }

    /**
     * Returns whether the request may fail over from a stalled endpoint to another one; if so, counts a retry.
     * The caller must then call {@link #failOver}.
     */
    boolean tryReserveFailover() {
        return canFailOver() && tryReserveRetry();
    }

    /**
     * Sends the request to another endpoint after {@link #tryReserveFailover}. The attempt at the silent one is cancelled
     * only once the other one has answered the request or continued its stream.
     */
    void failOver(Attempt attempt, RetryReason reason, String cause) {
        currentAttempt = Optional.empty();
        if (silentAttempt.isEmpty()) {
            attempt.suspendSilenceCheck();
            silentAttempt = Optional.of(attempt);
        } else {
            cancel(attempt);
        }
        retry(attempt, reason, cause);
    }

    /**
     * Returns whether the request can fail over. It does so only if another endpoint can take it now, since the stalled
     * one may still continue.
     */
    private boolean canFailOver() {
        final long nowNanos = services.nowNanos();
        final long remainingMs = remainingMs(nowNanos);
        return route.orElseThrow().mayRetry()
                && runs.permitsAnother(maxRuns())
                && attempts < MAX_ATTEMPTS
                && remainingMs >= MIN_ATTEMPT_MS
                && stream.isResumable()
                && isKeyFresh()
                && quarantine.find(organisation).isEmpty()
                && hasAlternative(remainingMs, nowNanos);
    }

    private boolean hasAlternative(long remainingMs, long nowNanos) {
        if (services.endpointLinks().areCut()) {
            return origin.isEmpty()
                    && relays < MAX_RELAYS
                    && !triedPeers.containsAll(services.registry().view().relayAddresses());
        }
        return place(true, remainingMs, nowNanos)
                .endpoint()
                .filter(endpoint -> !endpoint.isAvoided(nowNanos))
                .isPresent();
    }

    private boolean tryReserveRetry() {
        return services.retryBudget().tryRetry(services.registry().view().entryNodes(), services.nowNanos());
    }

    private void retry(Attempt attempt, RetryReason reason, String cause) {
        log.retried(attempt.target(), reason, cause, stream.hasBegun());
        send();
    }

    /** Forwards a complete response to the caller, unless a stream has begun, which it cannot continue. */
    void onResponse(Attempt attempt, BufferedResponse response) {
        final boolean fromSilent = dropSilent(attempt);
        if (stream.hasBegun()) {
            response.body().release();
            if (fromSilent) {
                return;
            }
            currentAttempt = Optional.empty();
            continueOrCut(
                    ErrorKind.ENDPOINT_FAILED,
                    attempt.target() + " responded with status " + response.status() + " to a stream that has begun");
            return;
        }
        if (fromSilent) {
            currentAttempt.ifPresent(this::cancel);
        }
        currentAttempt = Optional.empty();
        log.firstBytesSent();
        nameEndpoint(attempt, response.headers());
        responseWriter.writeResponse(response);
        log.responded(attempt.target(), response.status(), attempts, 0);
        end();
    }

    /**
     * Forwards an event of a stream to the caller. If two attempts run, the first one that takes the stream further
     * produces the rest of it, and the other one is cancelled.
     *
     * @return why the event cannot follow; empty if it can
     */
    Optional<String> acceptEvent(
            Attempt attempt, StreamPart part, ResponseHead head, ServerSentEventSplitter.Event event) {
        final boolean fromSilent = silentAttempt.filter(attempt::equals).isPresent();
        final Optional<String> fault = stream.findFault(part, event);
        final boolean anotherMayBegin = fromSilent || (silentAttempt.isPresent() && !stream.hasBegun());
        if (fault.isPresent() || (anotherMayBegin && !stream.isProgress(event))) {
            return fault;
        }
        if (stream.isProgress(event)) {
            continuation.recordProgress();
            if (fromSilent) {
                currentAttempt.ifPresent(this::cancel);
                returnToSilentAttempt("it goes on");
            } else {
                cancelSilentAttempt();
            }
        }
        log.firstBytesSent();
        nameEndpoint(attempt, head.headers());
        stream.begin(head, responseWriter);
        stream.relay(part, event, responseWriter);
        return Optional.empty();
    }

    /** Names the endpoint for the node that relayed the request, which has to heed what the response states of it. */
    private void nameEndpoint(Attempt attempt, HttpHeaders headers) {
        if (origin.isPresent() && !stream.hasBegun()) {
            attempt.endpointVm().ifPresent(vm -> RelayHeaders.nameEndpoint(headers, vm));
        }
    }

    private void cancelSilentAttempt() {
        silentAttempt.ifPresent(Attempt::cancel);
        silentAttempt = Optional.empty();
    }

    private void returnToSilentAttempt(String cause) {
        final Attempt attempt = silentAttempt.orElseThrow();
        silentAttempt = Optional.empty();
        currentAttempt = Optional.of(attempt);
        log.kept("it returns to " + attempt.target(), cause);
        attempt.resumeSilenceCheck();
    }

    /** Forwards the head of a stream that ends without an event, unless the stream has begun. */
    void beginStream(Attempt attempt, ResponseHead head) {
        log.firstBytesSent();
        nameEndpoint(attempt, head.headers());
        stream.begin(head, responseWriter);
    }

    /** Ends a stream whose last event was forwarded. */
    void onStreamEnd(Attempt attempt) {
        if (dropSilent(attempt)) {
            currentAttempt.ifPresent(Attempt::cancel);
        }
        currentAttempt = Optional.empty();
        responseWriter.endStream();
        log.responded(attempt.target(), stream.status(), attempts, stream.events());
        end();
    }

    private void onDeadline() {
        endUnfinished(
                CutCause.DEADLINE_PASSED, ErrorKind.ENDPOINT_TIMEOUT, ErrorKind.NO_FREE_SLOT, 0, "the deadline passed");
    }

    /** Ends the request without waiting for its endpoint any longer. */
    private void endUnfinished(
            CutCause cutCause, ErrorKind kindIfSent, ErrorKind kindIfUnsent, long retryAfterMs, String reason) {
        if (ended) {
            return;
        }
        currentAttempt.ifPresent(Attempt::cancel);
        final boolean sent = runs.total() > 0 || currentAttempt.isPresent();
        final String cause =
                reason + "; " + currentAttempt.map(Attempt::describe).orElse("no attempt was running");
        currentAttempt = Optional.empty();
        if (sent) {
            fail(cutCause, kindIfSent, cause, 0);
        } else {
            refuse(kindIfUnsent, reason + " before the request was sent", retryAfterMs);
        }
    }

    /** Looks for a way to go on with a stream that has begun, and gives it up if there is none. */
    private void continueOrCut(ErrorKind kind, String cause) {
        switch (continuation.next(
                silentAttempt.isPresent(), endpointMayAppear(kind), deadlineNanos, services.nowNanos())) {
            case RETURN_TO_SILENT_ENDPOINT -> returnToSilentAttempt(kind.code() + ", " + cause);
            case AWAIT_ENDPOINT -> awaitEndpoint(kind.code() + ", " + cause);
            case CUT ->
                fail(
                        kind == ErrorKind.SUSPECT_WAITING ? CutCause.REQUEST_QUARANTINED : CutCause.ENDPOINT_BROKE_OFF,
                        route.orElseThrow().mayRetry() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.OUTCOME_UNKNOWN,
                        kind.code() + ", " + cause,
                        0);
        }
    }

    private boolean endpointMayAppear(ErrorKind kind) {
        return MAY_SUCCEED_LATER.contains(kind)
                && route.orElseThrow().mayRetry()
                && runs.permitsAnother(maxRuns())
                && attempts < MAX_ATTEMPTS
                && stream.isResumable();
    }

    private void awaitEndpoint(String cause) {
        sendLater("it waits for an endpoint", cause, StreamContinuation.RETRY_DELAY_MS);
    }

    private void sendLater(String step, String cause, long delayMs) {
        log.kept(step, cause);
        NettyFutures.logFailure(
                services.loop().eventLoop().schedule(this::lookForEndpointAgain, delayMs, TimeUnit.MILLISECONDS));
    }

    /** The endpoints that were tried may have formed another group since. */
    private void lookForEndpointAgain() {
        if (!ended) {
            triedVms.clear();
            triedPeers.clear();
            send();
        }
    }

    private void failOrRefuse(ErrorKind kind, String cause, long retryAfterMs) {
        if (stream.hasBegun()) {
            continueOrCut(kind, cause);
            return;
        }
        if (silentAttempt.isPresent()) {
            returnToSilentAttempt(kind.code() + ", " + cause);
            return;
        }
        if (runs.total() > 0) {
            fail(
                    route.orElseThrow().mayRetry() ? ErrorKind.ENDPOINT_FAILED : ErrorKind.OUTCOME_UNKNOWN,
                    kind.code() + ", " + cause,
                    0);
            return;
        }
        if (kind.httpStatus() != ErrorKind.NO_FREE_SLOT.httpStatus()) {
            fail(kind, cause, retryAfterMs);
            return;
        }
        refuse(kind, cause, retryAfterMs);
    }

    private void fail(ErrorKind kind, String cause, long retryAfterMs) {
        fail(CutCause.ENDPOINT_BROKE_OFF, kind, cause, retryAfterMs);
    }

    private void fail(CutCause cutCause, ErrorKind kind, String cause, long retryAfterMs) {
        if (stream.hasBegun()) {
            logCut(cutCause, cause);
            log.failed(kind, cause);
            responseWriter.abort();
        } else if (errorResponse.isPresent()) {
            final BufferedResponse response = errorResponse.get();
            log.failedAtEndpoint(response.status(), cause);
            responseWriter.writeResponse(response);
            errorResponse = Optional.empty();
        } else {
            log.failed(kind, cause);
            responseWriter.writeResponse(statingUse(services.codec().error(request, kind, cause, retryAfterMs)));
        }
        end();
    }

    private void logCut(CutCause cause, String detail) {
        log.cut(cause, stream.events(), deadlineNanos, configurationVersion, attempts, detail);
    }

    private void fail(ErrorKind kind, String cause) {
        fail(kind, cause, 0);
    }

    /** Responds that the request did not run and when the caller may retry it. */
    private void refuse(ErrorKind kind, String cause, long retryAfterMs) {
        log.refused(organisation, kind, cause, retryAfterMs);
        final HttpReply reply = statingUse(services.codec().error(request, kind, cause, retryAfterMs));
        final boolean anotherNodeMayTakeIt = origin.isPresent() && OTHER_NODE_MAY_TAKE.contains(kind);
        responseWriter.writeResponse(anotherNodeMayTakeIt ? reply.withHeader(RelayHeaders.notTaken(), "1") : reply);
        end();
    }

    /** Returns an error of this node with the runs that it may have caused, for the node that relayed the request. */
    private HttpReply statingUse(HttpReply reply) {
        return origin.isPresent() ? reply.withHeader(RelayHeaders.used(), Integer.toString(runs.own())) : reply;
    }

    private void releaseErrorResponse() {
        errorResponse.ifPresent(response -> response.body().release());
    }

    private void end() {
        ended = true;
        cancelSilentAttempt();
        releaseErrorResponse();
        deadlineTimer.ifPresent(timer -> timer.cancel(false));
        onEnd.run();
    }
}

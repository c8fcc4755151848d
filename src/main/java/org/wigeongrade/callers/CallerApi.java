package org.wigeongrade.callers;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.hash.Hashing;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.decisions.config.ServiceDeclaration;
import org.wigeongrade.decisions.routing.EndpointKind;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.entry.EntryRole;
import org.wigeongrade.nodes.entry.FleetView;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.Response;
import ratpack.http.TypedData;

/**
 * The HTTP API for callers: chat and text completions, the model list, and plain services.
 *
 * <p>Invariant: every request gets exactly one response, and an error response is sent immediately. Thread safe.
 */
public final class CallerApi implements Action<Chain> {
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final String SERVICES_PREFIX = "services/";

    private final CallerDependencies dependencies;
    private final Dispatcher dispatcher;
    private final InFlightRequests inFlight;
    private final ModelList modelList;
    private final CallerAdmission admission;

    public CallerApi(CallerDependencies dependencies, InFlightRequests inFlight) {
        this.dependencies = dependencies;
        this.dispatcher = new Dispatcher(dependencies.entry(), new LinkMonitor(dependencies));
        this.inFlight = inFlight;
        this.modelList = new ModelList(dependencies.entry());
        this.admission = new CallerAdmission(dependencies.entry());
    }

    @Override
    public void execute(Chain chain) throws Exception {
        for (final GenerationApi api : GenerationApi.values()) {
            chain.path(
                    api.path().substring(1),
                    context -> context.byMethod(methods ->
                            methods.post(() -> serve(context, request -> generate(api, request)))));
        }
        chain.get("v1/models", context -> serve(context, this::listModels));
        chain.prefix(
                "services/:service",
                serviceChain -> serviceChain.all(context -> serve(context, request -> callService(request, context))));
    }

    /** A request that passed authentication, with its complete body. */
    @SuppressWarnings("ArrayRecordComponent")
    private record AuthenticatedRequest(
            Context context,
            RequestId id,
            OrganisationDeclaration organisation,
            byte[] body,
            DecisionRecorder decisions) {}

    private void serve(Context context, Action<AuthenticatedRequest> handler) {
        final RequestId id = requestId(context);
        try {
            final EntryRole entry = dependencies.entry();
            if (entry.isStopping()) {
                throw new WigeongradeException(ErrorKind.STOPPING, "this entry VM is stopping");
            }
            if (!entry.hasViewLease()) {
                throw new WigeongradeException(ErrorKind.NO_VIEW_LEASE, "this entry VM holds no valid view lease");
            }
            final OrganisationDeclaration organisation = authenticate(context, entry.view());
            readBody(context, id).then(body -> {
                final DecisionRecorder decisions = new DecisionRecorder(entry, id, organisation.name());
                handleOrRefuse(
                        new AuthenticatedRequest(context, id, organisation, body.getBytes(), decisions), handler);
            });
        } catch (WigeongradeException failure) {
            refuse(context, id, failure);
        }
    }

    private void handleOrRefuse(AuthenticatedRequest request, Action<AuthenticatedRequest> handler) throws Exception {
        try {
            handler.execute(request);
        } catch (WigeongradeException failure) {
            request.decisions().add("", "refused", failure.kind().code() + ": " + failure.getMessage());
            refuse(request.context(), request.id(), failure);
        }
    }

    private static RequestId requestId(Context context) {
        final String suppliedId = context.getRequest().getHeaders().get("X-Request-Id");
        if (suppliedId != null && REQUEST_ID.matcher(suppliedId).matches()) {
            return new RequestId(suppliedId);
        }
        return new RequestId("req-" + UUID.randomUUID());
    }

    private static OrganisationDeclaration authenticate(Context context, FleetView view) {
        return new OrganisationKeys(view.configuration().declaredSet())
                .authenticate(
                        Optional.ofNullable(context.getRequest().getHeaders().get("Authorization")));
    }

    private Promise<TypedData> readBody(Context context, RequestId id) {
        final int maxBytes = dependencies.limits().maxBodyBytes();
        final RequestBodyDeadline deadline = bodyDeadline(context, id);
        return context.getRequest()
                .getBody(
                        maxBytes,
                        () -> refuse(
                                context,
                                id,
                                new WigeongradeException(
                                        ErrorKind.BODY_TOO_LARGE, "the body exceeds " + maxBytes + " bytes")))
                .next(body -> deadline.cancel());
    }

    private RequestBodyDeadline bodyDeadline(Context context, RequestId id) {
        final long timeoutMs = dependencies.limits().bodyReadTimeoutMs();
        final WigeongradeException failure = new WigeongradeException(
                ErrorKind.REQUEST_TOO_SLOW, "the body did not arrive within " + timeoutMs + " ms");
        final RequestBodyDeadline deadline = RequestBodyDeadline.start(
                context.getDirectChannelAccess().getChannel(),
                timeoutMs,
                id,
                failure,
                () -> recordRefusal(id, failure));
        context.onClose(outcome -> deadline.cancel());
        return deadline;
    }

    private void listModels(AuthenticatedRequest request) {
        request.context().getResponse().send("application/json", modelList.json());
    }

    private void generate(GenerationApi api, AuthenticatedRequest request) {
        final GenerationRequest generation = GenerationRequest.read(api, request.body());
        if (!modelList.names().contains(generation.model())) {
            throw new WigeongradeException(
                    ErrorKind.NOT_FOUND,
                    "model '" + generation.model() + "' is not declared; the declared models are " + modelList.names());
        }
        final RouteTarget target = new RouteTarget(EndpointKind.ENGINE, generation.model());
        if (forwardToOtherVm(request, target)) {
            return;
        }
        final CallerAdmission.Admitted admitted =
                admission.admit(request.organisation(), target, generation.maxTokens());
        final String digest = Hashing.sha256()
                .newHasher()
                .putString(request.organisation().name() + "\n" + api.path() + "\n", StandardCharsets.UTF_8)
                .putBytes(request.body())
                .hash()
                .toString();
        inFlight.requestStarted();
        final long startNanos = dependencies.entry().nowNanos();
        respond(request, result -> {
            final GenerationExchange exchange = new GenerationExchange(
                    dependencies,
                    dispatcher,
                    generation,
                    request.id(),
                    digest,
                    request.decisions(),
                    result,
                    summary -> {
                        admitted.finish(summary.tokens());
                        recordEnd(summary, startNanos);
                    });
            onDisconnect(request.context(), exchange::onCallerDisconnect);
            exchange.start();
        });
    }

    private void callService(AuthenticatedRequest request, Context context) {
        final ServiceCall call = serviceCall(request, context);
        final RouteTarget target = RouteTarget.of(call.service().name());
        if (forwardToOtherVm(request, target)) {
            return;
        }
        final CallerAdmission.Admitted admitted = admission.admit(request.organisation(), target, 0);
        inFlight.requestStarted();
        final long startNanos = dependencies.entry().nowNanos();
        respond(request, result -> {
            final ServiceExchange exchange = new ServiceExchange(
                    dependencies, dispatcher, call, request.id(), request.decisions(), result, summary -> {
                        admitted.finish(summary.tokens());
                        recordEnd(summary, startNanos);
                    });
            onDisconnect(request.context(), exchange::onCallerDisconnect);
            exchange.start();
        });
    }

    /**
     * Forwards the request, unless it was forwarded before, to an entry VM that reaches endpoints if this one reaches
     * none, or that holds the slots of the target's cold endpoints. Returns whether it was forwarded.
     */
    private boolean forwardToOtherVm(AuthenticatedRequest request, RouteTarget target) {
        if (request.context().getRequest().getHeaders().contains(ForwardedRequest.HEADER)) {
            return false;
        }
        final Optional<String> relay = dispatcher.relayAddress();
        if (relay.isPresent()) {
            dependencies.metrics().countRelayed();
            dependencies
                    .events()
                    .write(
                            LogEvent.REQUEST_RELAYED,
                            request.id(),
                            relay.get(),
                            dependencies.entry().view().relayAddresses().size(),
                            "-",
                            dependencies.limits().requestTimeoutMs());
            forward(request, relay.get(), "this entry VM reaches no endpoint");
            return true;
        }
        final Optional<String> coldHolder = dispatcher.coldHolderAddress(target);
        coldHolder.ifPresent(address ->
                forward(request, address, "the target's endpoints are cold and only this entry VM may send to them"));
        return coldHolder.isPresent();
    }

    private void forward(AuthenticatedRequest request, String address, String reason) {
        inFlight.requestStarted();
        respond(request, result -> {
            final ForwardedRequest forwarded = new ForwardedRequest(
                    dependencies, request.id(), request.decisions(), result, inFlight::requestEnded);
            onDisconnect(request.context(), forwarded::onCallerDisconnect);
            forwarded.start(address, reason, request.context().getRequest(), request.body());
        });
    }

    private ServiceCall serviceCall(AuthenticatedRequest request, Context context) {
        final ServiceName name = serviceName(context.getPathTokens().get("service"));
        final ServiceDeclaration service = dependencies.entry().view().configuration().declaredSet().services().stream()
                .filter(declared -> declared.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new WigeongradeException(ErrorKind.NOT_FOUND, "service '" + name + "' is not declared"));
        final String rawUri = context.getRequest().getRawUri();
        final String prefix = "/" + SERVICES_PREFIX + context.getPathTokens().get("service");
        final String pathAndQuery = rawUri.substring(Math.min(rawUri.length(), prefix.length()));
        return new ServiceCall(
                service,
                request.organisation().name(),
                context.getRequest().getMethod().getName(),
                pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery,
                HeaderFilter.toEndpoint(context.getRequest().getHeaders()),
                request.body(),
                idempotencyKey(context));
    }

    private static ServiceName serviceName(String text) {
        try {
            return new ServiceName(text);
        } catch (IllegalArgumentException failure) {
            throw new WigeongradeException(ErrorKind.MALFORMED_REQUEST, failure.getMessage(), failure);
        }
    }

    private static Optional<String> idempotencyKey(Context context) {
        final Optional<String> key =
                Optional.ofNullable(context.getRequest().getHeaders().get("Idempotency-Key"));
        if (key.filter(text -> !IDEMPOTENCY_KEY.matcher(text).matches()).isPresent()) {
            throw new WigeongradeException(
                    ErrorKind.MALFORMED_REQUEST, "Idempotency-Key must be 1 to 200 visible ASCII characters");
        }
        return key;
    }

    private void respond(AuthenticatedRequest request, Action<Consumer<CallerResult>> exchange) {
        Promise.<CallerResult>async(downstream -> exchange.execute(downstream::success))
                .then(result -> send(request, result));
    }

    private static void send(AuthenticatedRequest request, CallerResult result) {
        final Response response = request.context().getResponse();
        if (result instanceof CallerResult.Failed failed) {
            ErrorResponses.send(response, request.id(), failed.failure());
            return;
        }
        response.getHeaders().set("X-Request-Id", request.id().value());
        response.getHeaders().set("X-Wigeongrade-Run", "completed");
        if (result instanceof CallerResult.Buffered buffered) {
            setHeaders(response, buffered.headers());
            response.status(buffered.status()).send(buffered.body());
            return;
        }
        final CallerResult.Streamed streamed = (CallerResult.Streamed) result;
        setHeaders(response, streamed.headers());
        final Channel connection = request.context().getDirectChannelAccess().getChannel();
        streamed.body().resetOnFailure(() -> NettyFutures.reset(connection));
        response.status(streamed.status()).sendStream(streamed.body());
    }

    private static void setHeaders(Response response, ImmutableListMultimap<String, String> headers) {
        headers.keySet().forEach(response.getHeaders()::remove);
        headers.forEach(response.getHeaders()::add);
    }

    /** Runs the action if the caller's connection closes before the response is sent; then removes its listener. */
    private void onDisconnect(Context context, Runnable action) {
        final ChannelFuture closeFuture =
                context.getDirectChannelAccess().getChannel().closeFuture();
        final ChannelFutureListener listener =
                future -> dependencies.scheduler().schedule(action, 0);
        closeFuture.addListener(listener);
        context.onClose(outcome -> closeFuture.removeListener(listener));
    }

    private void recordEnd(ExchangeSummary summary, long startNanos) {
        inFlight.requestEnded();
        dependencies
                .metrics()
                .recordRequest(
                        summary.zone(), summary.outcome(), dependencies.entry().nowNanos() - startNanos);
    }

    private void refuse(Context context, RequestId id, WigeongradeException failure) {
        recordRefusal(id, failure);
        ErrorResponses.send(context.getResponse(), id, failure);
    }

    private void recordRefusal(RequestId id, WigeongradeException failure) {
        dependencies.metrics().countRefusal(failure.kind());
        dependencies
                .events()
                .write(LogEvent.REQUEST_REFUSED, id, "-", failure.kind().code(), failure.getMessage());
    }
}

package org.wigeongrade.callers;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.hash.Hashing;
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
 * <p>Invariant: every request gets one answer, and an error answer comes at once. Thread safe.
 */
public final class CallerApi implements Action<Chain> {
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final String SERVICES_PREFIX = "services/";

    private final CallerServices services;
    private final Dispatcher dispatcher;
    private final InFlight inFlight;
    private final ModelList modelList;
    private final CallerAdmission admission;

    public CallerApi(CallerServices services, InFlight inFlight) {
        this.services = services;
        this.dispatcher = new Dispatcher(services.entry());
        this.inFlight = inFlight;
        this.modelList = new ModelList(services.entry());
        this.admission = new CallerAdmission(services.entry());
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
                sub -> sub.all(context -> serve(context, request -> callService(request, context))));
    }

    /** One request past authentication. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Arrived(
            Context context, RequestId id, OrganisationDeclaration organisation, byte[] body, DecisionNotes notes) {}

    private void serve(Context context, Action<Arrived> handler) {
        final RequestId id = requestId(context);
        try {
            final EntryRole entry = services.entry();
            if (entry.isStopping()) {
                throw new WigeongradeException(ErrorKind.STOPPING, "this entry VM is stopping");
            }
            if (!entry.view().hasLease(entry.nowNanos())) {
                throw new WigeongradeException(ErrorKind.NO_VIEW_LEASE, "this entry VM holds no valid view lease");
            }
            final OrganisationDeclaration organisation = authenticate(context, entry.view());
            readBody(context, id).then(body -> {
                final DecisionNotes notes = new DecisionNotes(entry, id, organisation.name());
                handleSafely(new Arrived(context, id, organisation, body.getBytes(), notes), handler);
            });
        } catch (WigeongradeException failure) {
            refuse(context, id, failure);
        }
    }

    private void handleSafely(Arrived request, Action<Arrived> handler) throws Exception {
        try {
            handler.execute(request);
        } catch (WigeongradeException failure) {
            request.notes().add("", "refused", failure.kind().code() + ": " + failure.getMessage());
            refuse(request.context(), request.id(), failure);
        }
    }

    private static RequestId requestId(Context context) {
        final String given = context.getRequest().getHeaders().get("X-Request-Id");
        if (given != null && REQUEST_ID.matcher(given).matches()) {
            return new RequestId(given);
        }
        return new RequestId("req-" + UUID.randomUUID());
    }

    private static OrganisationDeclaration authenticate(Context context, FleetView view) {
        return new OrganisationKeys(view.configuration().declaredSet())
                .authenticate(
                        Optional.ofNullable(context.getRequest().getHeaders().get("Authorization")));
    }

    private Promise<TypedData> readBody(Context context, RequestId id) {
        final int maxBytes = services.limits().maxBodyBytes();
        final BodyDeadline deadline = bodyDeadline(context, id);
        return context.getRequest()
                .getBody(
                        maxBytes,
                        () -> refuse(
                                context,
                                id,
                                new WigeongradeException(
                                        ErrorKind.BODY_TOO_LARGE, "the body exceeds " + maxBytes + " bytes")))
                .next(body -> deadline.end());
    }

    private BodyDeadline bodyDeadline(Context context, RequestId id) {
        final long timeoutMs = services.limits().bodyReadTimeoutMs();
        final WigeongradeException failure = new WigeongradeException(
                ErrorKind.REQUEST_TOO_SLOW, "the body did not arrive within " + timeoutMs + " ms");
        final BodyDeadline deadline = BodyDeadline.start(
                context.getDirectChannelAccess().getChannel(), timeoutMs, id, failure, () -> count(id, failure));
        context.onClose(outcome -> deadline.end());
        return deadline;
    }

    private void listModels(Arrived request) {
        request.context().getResponse().send("application/json", modelList.json());
    }

    private void generate(GenerationApi api, Arrived request) {
        final GenerationRequest wanted = GenerationRequest.read(api, request.body());
        if (!modelList.names().contains(wanted.model())) {
            throw new WigeongradeException(
                    ErrorKind.NOT_FOUND,
                    "model '" + wanted.model() + "' is not declared; the declared ones are " + modelList.names());
        }
        final RouteTarget target = new RouteTarget(EndpointKind.ENGINE, wanted.model());
        if (passedOn(request, target)) {
            return;
        }
        final CallerAdmission.Admitted admitted = admission.admit(request.organisation(), target, wanted.maxTokens());
        final String digest = Hashing.sha256()
                .newHasher()
                .putString(request.organisation().name() + "\n" + api.path() + "\n", StandardCharsets.UTF_8)
                .putBytes(request.body())
                .hash()
                .toString();
        inFlight.arrived();
        final long startNanos = services.entry().nowNanos();
        answer(request, result -> {
            final GenerationExchange exchange = new GenerationExchange(
                    services, dispatcher, wanted, request.id(), digest, request.notes(), result, end -> {
                        admitted.finish(end.tokens());
                        ended(end, startNanos);
                    });
            onCallerGone(request.context(), exchange::callerGone);
            exchange.start();
        });
    }

    private void callService(Arrived request, Context context) {
        final ServiceCall call = serviceCall(request, context);
        final RouteTarget target = RouteTarget.of(call.service().name());
        if (passedOn(request, target)) {
            return;
        }
        final CallerAdmission.Admitted admitted = admission.admit(request.organisation(), target, 0);
        inFlight.arrived();
        final long startNanos = services.entry().nowNanos();
        answer(request, result -> {
            final ServiceExchange exchange =
                    new ServiceExchange(services, dispatcher, call, request.id(), request.notes(), result, end -> {
                        admitted.finish(end.tokens());
                        ended(end, startNanos);
                    });
            onCallerGone(request.context(), exchange::callerGone);
            exchange.start();
        });
    }

    /** Passes a request on to the one entry VM that may send to the target's cold endpoints; at most once. */
    private boolean passedOn(Arrived request, RouteTarget target) {
        final boolean passedBefore = request.context().getRequest().getHeaders().contains(PassedOn.HEADER);
        final Optional<String> address = passedBefore ? Optional.empty() : dispatcher.coldHolderAddress(target);
        if (address.isEmpty()) {
            return false;
        }
        inFlight.arrived();
        answer(request, result -> {
            final PassedOn passedOn = new PassedOn(services, request.id(), request.notes(), result, inFlight::left);
            onCallerGone(request.context(), passedOn::callerGone);
            passedOn.start(address.get(), request.context().getRequest(), request.body());
        });
        return true;
    }

    private ServiceCall serviceCall(Arrived request, Context context) {
        final ServiceName name = serviceName(context.getPathTokens().get("service"));
        final ServiceDeclaration service = services.entry().view().configuration().declaredSet().services().stream()
                .filter(declared -> declared.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new WigeongradeException(ErrorKind.NOT_FOUND, "service '" + name + "' is not declared"));
        final String rawUri = context.getRequest().getRawUri();
        final String prefix = "/" + SERVICES_PREFIX + context.getPathTokens().get("service");
        final String rest = rawUri.substring(Math.min(rawUri.length(), prefix.length()));
        return new ServiceCall(
                service,
                request.organisation().name(),
                context.getRequest().getMethod().getName(),
                rest.startsWith("/") ? rest : "/" + rest,
                AnswerHeaders.forEndpoint(context.getRequest().getHeaders()),
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

    private void answer(Arrived request, Action<Consumer<CallerResult>> exchange) {
        Promise.<CallerResult>async(downstream -> exchange.execute(downstream::success))
                .then(result -> send(request, result));
    }

    private static void send(Arrived request, CallerResult result) {
        final Response response = request.context().getResponse();
        if (result instanceof CallerResult.Failed failed) {
            ErrorAnswers.send(response, request.id(), failed.failure());
            return;
        }
        response.getHeaders().set("X-Request-Id", request.id().value());
        response.getHeaders().set("X-Wigeongrade-Run", "completed");
        if (result instanceof CallerResult.Whole whole) {
            putHeaders(response, whole.headers());
            response.status(whole.status()).send(whole.body());
            return;
        }
        final CallerResult.Streamed streamed = (CallerResult.Streamed) result;
        putHeaders(response, streamed.headers());
        response.status(streamed.status()).sendStream(streamed.body());
    }

    private static void putHeaders(Response response, ImmutableListMultimap<String, String> headers) {
        headers.keySet().forEach(response.getHeaders()::remove);
        headers.forEach(response.getHeaders()::add);
    }

    /** Calls back if the caller's connection closes before the answer is sent; holds nothing on it afterwards. */
    private void onCallerGone(Context context, Runnable callerGone) {
        final ChannelFuture closed =
                context.getDirectChannelAccess().getChannel().closeFuture();
        final ChannelFutureListener listener = future -> services.delay().run(callerGone, 0);
        closed.addListener(listener);
        context.onClose(outcome -> closed.removeListener(listener));
    }

    private void ended(ExchangeEnd end, long startNanos) {
        inFlight.left();
        services.metrics()
                .requestEnded(end.zone(), end.outcome(), services.entry().nowNanos() - startNanos);
    }

    private void refuse(Context context, RequestId id, WigeongradeException failure) {
        count(id, failure);
        ErrorAnswers.send(context.getResponse(), id, failure);
    }

    private void count(RequestId id, WigeongradeException failure) {
        services.metrics().refused(failure.kind());
        services.events()
                .write(LogEvent.REQUEST_REFUSED, id, "-", failure.kind().code(), failure.getMessage());
    }
}

package org.wigeongrade.operators;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.config.ConfigurationChecker;
import org.wigeongrade.decisions.config.ConfigurationFault;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.errors.ErrorDetail;
import org.wigeongrade.errors.ErrorJson;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ChangeId;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.FleetExplanations;
import org.wigeongrade.nodes.LeaderClient;
import org.wigeongrade.nodes.entry.EntryRole;
import ratpack.exec.Blocking;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * The HTTP API for operators; any entry VM serves it.
 *
 * <p>Invariant: a change is reported as accepted only after the replicated log committed it. Thread safe: holds no
 * state of its own; calls that wait for other VMs run on threads for blocking work.
 */
public final class OperatorApi implements Action<Chain> {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_SET_BYTES = 4 * 1024 * 1024;
    private static final long SUBMIT_TIMEOUT_MS = 8_000;
    private static final String BODY_FILE_NAME = "body";

    private final EntryRole entry;
    private final LeaderClient control;
    private final FleetExplanations explanations;
    private final EventLog events;
    private final LongSupplier epochMsClock;
    private final Runnable stop;

    public OperatorApi(
            EntryRole entry,
            LeaderClient control,
            FleetExplanations explanations,
            EventLog events,
            LongSupplier epochMsClock,
            Runnable stop) {
        this.entry = entry;
        this.control = control;
        this.explanations = explanations;
        this.events = events;
        this.epochMsClock = epochMsClock;
        this.stop = stop;
    }

    @Override
    public void execute(Chain chain) throws Exception {
        chain.prefix(
                "v1/operator",
                operator -> operator.post("check", context -> respondToBody(context, this::check))
                        .post("apply", context -> respondToBody(context, body -> apply(context, body)))
                        .post("zones/:zone/:state", context -> respond(context, () -> setZone(context)))
                        .get("status", context -> respond(context, explanations::status))
                        .get("configuration", context -> respond(context, this::configuration))
                        .get(
                                "why/:kind/:id",
                                context -> respond(
                                        context,
                                        () -> why(
                                                context, context.getPathTokens().get("id"))))
                        .get(
                                "why/:kind/:first/:rest",
                                context -> respond(
                                        context,
                                        () -> why(
                                                context,
                                                context.getPathTokens().get("first") + "/"
                                                        + context.getPathTokens()
                                                                .get("rest"))))
                        .post("stop", this::stop));
    }

    /** Returns the JSON response to one request; may block. */
    @FunctionalInterface
    private interface JsonSupplier {
        String get();
    }

    private void respondToBody(Context context, Function<String, String> handler) {
        context.getRequest()
                .getBody(
                        MAX_SET_BYTES,
                        () -> refuse(
                                context,
                                new WigeongradeException(
                                        ErrorKind.BODY_TOO_LARGE,
                                        "the declared set exceeds " + MAX_SET_BYTES + " bytes")))
                .then(body -> respond(context, () -> handler.apply(body.getText(StandardCharsets.UTF_8))));
    }

    private static void respond(Context context, JsonSupplier supplier) {
        Blocking.get(supplier::get)
                .onError(failure -> refuse(context, toWigeongradeException(failure)))
                .then(json -> context.getResponse().send("application/json", json));
    }

    private static WigeongradeException toWigeongradeException(Throwable failure) {
        if (failure instanceof WigeongradeException known) {
            return known;
        }
        if (failure instanceof IllegalArgumentException malformed) {
            return new WigeongradeException(ErrorKind.MALFORMED_REQUEST, malformed.getMessage(), malformed);
        }
        return new WigeongradeException(ErrorKind.INTERNAL, failure.toString(), failure);
    }

    private static void refuse(Context context, WigeongradeException failure) {
        context.getResponse().status(failure.kind().httpStatus());
        context.getResponse()
                .getHeaders()
                .set("X-Wigeongrade-Run", failure.kind().runStatus().headerValue());
        context.getResponse().send("application/json", ErrorJson.render(failure, ""));
    }

    private String check(String toml) {
        final DeclaredSet set = readValid(toml);
        final ObjectNode response = MAPPER.createObjectNode();
        response.put("valid", true);
        response.put("revision", entry.view().revision().value());
        addWarnings(
                response,
                ConfigurationChecker.check(set, entry.view().configuration().declaredSet()));
        return response.toString();
    }

    private String apply(Context context, String toml) {
        final DeclaredSet set = readValid(toml);
        final Command command = new Command.ApplyConfiguration(
                changeId(context),
                operator(context),
                new Revision(baseRevision(context)),
                set,
                epochMsClock.getAsLong());
        final Revision revision = submit(command);
        events.write(LogEvent.CONFIGURATION_APPLIED, revision, operator(context), changeId(context));
        return revisionJson(revision);
    }

    private String setZone(Context context) {
        final AvailabilityZone zone =
                new AvailabilityZone(context.getPathTokens().get("zone"));
        final ZoneState state = zoneState(context.getPathTokens().get("state"));
        final Command command =
                new Command.SetZoneState(changeId(context), operator(context), zone, state, epochMsClock.getAsLong());
        final Revision revision = submit(command);
        events.write(state.takesNewWork() ? LogEvent.ZONE_IN : LogEvent.ZONE_OUT, zone, revision, operator(context));
        return revisionJson(revision);
    }

    private String configuration() {
        if (!entry.hasViewLease()) {
            throw new WigeongradeException(ErrorKind.NO_VIEW_LEASE, "this entry VM holds no valid view lease");
        }
        return new String(entry.view().configuration().encode(), StandardCharsets.UTF_8);
    }

    private String why(Context context, String id) {
        return explanations.explain(context.getPathTokens().get("kind"), id);
    }

    private void stop(Context context) {
        context.getResponse().send("application/json", "{\"stopping\":true}");
        stop.run();
    }

    private DeclaredSet readValid(String toml) {
        final DeclaredSetReadResult result = DeclaredSetReader.read(List.of(new DeclaredFile(BODY_FILE_NAME, toml)));
        if (!result.hasNoFaults()) {
            throw invalidConfiguration(result.faults());
        }
        final List<ConfigurationFault> faults = ConfigurationChecker.check(
                result.set(), entry.view().configuration().declaredSet());
        if (ConfigurationChecker.refusesSet(faults)) {
            throw invalidConfiguration(faults.stream().map(result::toFileFault).toList());
        }
        return result.set();
    }

    private static WigeongradeException invalidConfiguration(List<FileFault> faults) {
        return new WigeongradeException(
                ErrorKind.INVALID_CONFIGURATION,
                faults.size() + " fault(s) in the declared set; nothing was applied",
                faults.stream()
                        .map(fault -> new ErrorDetail(fault.file(), fault.line(), fault.code(), fault.message()))
                        .toList());
    }

    private static void addWarnings(ObjectNode response, List<ConfigurationFault> warnings) {
        final ArrayNode array = response.putArray("warnings");
        warnings.forEach(warning -> array.add(warning.toString()));
    }

    private Revision submit(Command command) {
        final long deadlineNanos = entry.nowNanos() + TimeUnit.MILLISECONDS.toNanos(SUBMIT_TIMEOUT_MS);
        final CommandResult result = control.submit(command, deadlineNanos);
        if (result instanceof CommandResult.Refused refused) {
            throw new WigeongradeException(refused.kind(), refused.message());
        }
        return ((CommandResult.Accepted) result).revision();
    }

    private static String revisionJson(Revision revision) {
        return MAPPER.createObjectNode().put("revision", revision.value()).toString();
    }

    private static ZoneState zoneState(String text) {
        return switch (text) {
            case "in" -> ZoneState.IN;
            case "out" -> ZoneState.OUT;
            default ->
                throw new WigeongradeException(
                        ErrorKind.MALFORMED_REQUEST, "'" + text + "' is not a zone state; use 'in' or 'out'");
        };
    }

    private static ChangeId changeId(Context context) {
        return new ChangeId(requiredQueryParameter(context, "change_id"));
    }

    private static String operator(Context context) {
        return Optional.ofNullable(context.getRequest().getQueryParams().get("operator"))
                .orElse("unnamed");
    }

    private static long baseRevision(Context context) {
        final String text = requiredQueryParameter(context, "base_revision");
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException failure) {
            throw new WigeongradeException(
                    ErrorKind.MALFORMED_REQUEST, "base_revision '" + text + "' is not a whole number", failure);
        }
    }

    private static String requiredQueryParameter(Context context, String parameter) {
        return Optional.ofNullable(context.getRequest().getQueryParams().get(parameter))
                .orElseThrow(() -> new WigeongradeException(
                        ErrorKind.MALFORMED_REQUEST, "the query parameter '" + parameter + "' is missing"));
    }
}

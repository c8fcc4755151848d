package org.wigeongrade.platform;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.control.ControlRequestHandler;
import org.wigeongrade.fleet.control.ControlResponse;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.HttpRequestHandler;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmName;

/** The platform's HTTP API for endpoint VMs and operators. Stateless; safe for use from any thread. */
public final class ControlApi implements Function<HttpRequestHandler.Request, CompletableFuture<HttpReply>> {
    private static final System.Logger LOGGER = System.getLogger(ControlApi.class.getName());
    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int NAMED_CALL_SEGMENTS = 4;

    private final ControlRequestHandler handler;

    public ControlApi(ControlRequestHandler handler) {
        this.handler = handler;
    }

    @Override
    public CompletableFuture<HttpReply> apply(HttpRequestHandler.Request call) {
        try {
            return handle(call);
        } catch (WigeongradeException e) {
            if (e.kind() != ErrorKind.INVALID_CONFIGURATION) {
                throw e;
            }
            LOGGER.log(Level.WARNING, "rejected call {0}: {1}", call.path(), e.getMessage());
            return completed(new ControlResponse.Invalid(List.of(e.getMessage())), call.path());
        } catch (IllegalArgumentException e) {
            LOGGER.log(Level.WARNING, "rejected call {0}: {1}", call.path(), e.getMessage());
            return completed(new ControlResponse.Invalid(List.of(e.getMessage())), call.path());
        }
    }

    private CompletableFuture<HttpReply> handle(HttpRequestHandler.Request call) {
        final String methodAndPath = call.method() + " " + call.path();
        if (methodAndPath.equals("POST /-/configuration/replace")) {
            return handler.publish(call.body().array()).thenApply(response -> toHttpReply(response, call.path()));
        }
        if (methodAndPath.equals("GET /-/configuration/read")) {
            return completed(handler.readConfiguration(), call.path());
        }
        final List<String> segments = Splitter.on('/').omitEmptyStrings().splitToList(call.path());
        if (!call.method().equals("POST") || segments.size() != NAMED_CALL_SEGMENTS) {
            return CompletableFuture.completedFuture(HttpReply.text(NOT_FOUND, "unknown method or path\n"));
        }
        return handleNamedCall(segments.get(1) + " " + segments.get(3), segments.get(2), call);
    }

    private CompletableFuture<HttpReply> handleNamedCall(
            String resourceAndAction, String name, HttpRequestHandler.Request call) {
        return switch (resourceAndAction) {
            case "instances heartbeat" ->
                handler.handleHeartbeat(HeartbeatReader.read(name, call.body().array()))
                        .thenApply(response -> toHttpReply(response, call.path()));
            case "instances deregister" ->
                handler.deregister(
                                VmName.of(name),
                                HeartbeatReader.readIncarnation(call.body().array()))
                        .thenApply(response -> toHttpReply(response, call.path()));
            case "evacuation begin" ->
                handler.setZone(AvailabilityZone.of(name), true)
                        .thenApply(response -> toHttpReply(response, call.path()));
            case "evacuation finish" ->
                handler.setZone(AvailabilityZone.of(name), false)
                        .thenApply(response -> toHttpReply(response, call.path()));
            default -> CompletableFuture.completedFuture(HttpReply.text(NOT_FOUND, "unknown method or path\n"));
        };
    }

    private static CompletableFuture<HttpReply> completed(ControlResponse response, String path) {
        return CompletableFuture.completedFuture(toHttpReply(response, path));
    }

    private static HttpReply toHttpReply(ControlResponse response, String path) {
        if (response instanceof ControlResponse.HeartbeatAccepted accepted) {
            return HttpReply.json(
                    OK,
                    WireJson.write(accepted.leader()
                            .map(leader -> ImmutableMap.of("heartbeatAddress", hostAndPort(leader)))
                            .orElse(ImmutableMap.of())));
        }
        if (response instanceof ControlResponse.Document document) {
            return HttpReply.json(OK, document.document().array());
        }
        if (response instanceof ControlResponse.Invalid invalid) {
            return HttpReply.text(BAD_REQUEST, String.join("\n", invalid.errors()) + "\n");
        }
        if (response instanceof ControlResponse.Conflict conflict) {
            return HttpReply.text(CONFLICT, conflict.message() + "\n");
        }
        if (response instanceof ControlResponse.RedirectToLeader redirect) {
            return HttpReply.text(TEMPORARY_REDIRECT, "only the leader answers this call\n")
                    .withHeader("location", "http://" + hostAndPort(redirect.leader()) + path);
        }
        if (response instanceof ControlResponse.Unavailable unavailable) {
            return HttpReply.text(UNAVAILABLE, unavailable.message() + "\n");
        }
        if (response instanceof ControlResponse.NotPublished) {
            return HttpReply.text(NOT_FOUND, "no configuration has been published yet\n");
        }
        return HttpReply.json(OK, WireJson.write(ImmutableMap.of()));
    }

    private static String hostAndPort(InetSocketAddress address) {
        return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
                .toString();
    }
}

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
import org.wigeongrade.fleet.control.ControlDesk;
import org.wigeongrade.fleet.control.DeskAnswer;
import org.wigeongrade.fleet.net.CallServer;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmName;

/** The calls of endpoint VMs and operators. Stateless; safe for use from any thread. */
public final class ControlApi implements Function<CallServer.Call, CompletableFuture<HttpReply>> {
    private static final System.Logger LOGGER = System.getLogger(ControlApi.class.getName());
    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int WORDS_OF_VM_OR_ZONE_CALL = 4;

    private final ControlDesk desk;

    public ControlApi(ControlDesk desk) {
        this.desk = desk;
    }

    @Override
    public CompletableFuture<HttpReply> apply(CallServer.Call call) {
        try {
            return answer(call);
        } catch (WigeongradeException e) {
            if (e.kind() != ErrorKind.INVALID_CONFIGURATION) {
                throw e;
            }
            LOGGER.log(Level.WARNING, "call {0} refused: {1}", call.path(), e.getMessage());
            return done(new DeskAnswer.Invalid(List.of(e.getMessage())), call.path());
        } catch (IllegalArgumentException e) {
            LOGGER.log(Level.WARNING, "call {0} refused: {1}", call.path(), e.getMessage());
            return done(new DeskAnswer.Invalid(List.of(e.getMessage())), call.path());
        }
    }

    private CompletableFuture<HttpReply> answer(CallServer.Call call) {
        final String place = call.method() + " " + call.path();
        if (place.equals("POST /-/configuration/replace")) {
            return desk.publish(call.body().array()).thenApply(answer -> reply(answer, call.path()));
        }
        if (place.equals("GET /-/configuration/read")) {
            return done(desk.read(), call.path());
        }
        final List<String> words = Splitter.on('/').omitEmptyStrings().splitToList(call.path());
        if (!call.method().equals("POST") || words.size() != WORDS_OF_VM_OR_ZONE_CALL) {
            return CompletableFuture.completedFuture(HttpReply.text(NOT_FOUND, "no such call\n"));
        }
        return answerNamed(words.get(1) + " " + words.get(3), words.get(2), call);
    }

    private CompletableFuture<HttpReply> answerNamed(String what, String name, CallServer.Call call) {
        return switch (what) {
            case "instances heartbeat" ->
                done(desk.hear(HeartbeatReader.read(name, call.body().array())), call.path());
            case "instances deregister" -> done(desk.depart(VmName.of(name)), call.path());
            case "evacuation begin" ->
                desk.setZone(AvailabilityZone.of(name), true).thenApply(answer -> reply(answer, call.path()));
            case "evacuation finish" ->
                desk.setZone(AvailabilityZone.of(name), false).thenApply(answer -> reply(answer, call.path()));
            default -> CompletableFuture.completedFuture(HttpReply.text(NOT_FOUND, "no such call\n"));
        };
    }

    private static CompletableFuture<HttpReply> done(DeskAnswer answer, String path) {
        return CompletableFuture.completedFuture(reply(answer, path));
    }

    private static HttpReply reply(DeskAnswer answer, String path) {
        if (answer instanceof DeskAnswer.Heard heard) {
            return HttpReply.json(
                    OK,
                    WireJson.write(heard.leader()
                            .map(leader -> ImmutableMap.of("heartbeatAddress", text(leader)))
                            .orElse(ImmutableMap.of())));
        }
        if (answer instanceof DeskAnswer.Document document) {
            return HttpReply.json(OK, document.document().array());
        }
        if (answer instanceof DeskAnswer.Invalid invalid) {
            return HttpReply.text(BAD_REQUEST, String.join("\n", invalid.faults()) + "\n");
        }
        if (answer instanceof DeskAnswer.Conflict conflict) {
            return HttpReply.text(CONFLICT, conflict.message() + "\n");
        }
        if (answer instanceof DeskAnswer.Elsewhere elsewhere) {
            return HttpReply.text(TEMPORARY_REDIRECT, "the leader answers this\n")
                    .with("location", "http://" + text(elsewhere.leader()) + path);
        }
        if (answer instanceof DeskAnswer.Unavailable unavailable) {
            return HttpReply.text(UNAVAILABLE, unavailable.message() + "\n");
        }
        if (answer instanceof DeskAnswer.Nothing) {
            return HttpReply.text(NOT_FOUND, "nothing was published yet\n");
        }
        return HttpReply.json(OK, WireJson.write(ImmutableMap.of()));
    }

    private static String text(InetSocketAddress address) {
        return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
                .toString();
    }
}

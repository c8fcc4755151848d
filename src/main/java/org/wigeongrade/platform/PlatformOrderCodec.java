package org.wigeongrade.platform;

import com.google.common.collect.ImmutableMap;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.GroupOrderKind;
import org.wigeongrade.decisions.grouping.OrderResponse;
import org.wigeongrade.fleet.control.OrderCodec;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.ids.VmName;

/** Encodes orders to engine VMs and decodes the responses. Stateless; safe for use from any thread. */
public final class PlatformOrderCodec implements OrderCodec {
    private static final String ORDER_PATH = "/-/order";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;

    @Override
    public FullHttpRequest encode(GroupOrder order) {
        final boolean probe = order.kind() == GroupOrderKind.PROBE;
        final byte[] body = probe ? new byte[0] : WireJson.write(fields(order));
        final FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                probe ? HttpMethod.GET : HttpMethod.POST,
                probe ? EngineReport.PATH : ORDER_PATH,
                Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, order.address())
                .set(HttpHeaderNames.CONNECTION, "close")
                .set(WireHeaders.EXPECTED_VM, order.vm().vm().value());
        if (!probe) {
            request.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return request;
    }

    @Override
    public OrderResponse decode(GroupOrder order, OneShotHttpClient.Response response) {
        return switch (response.status()) {
            case OK -> order.kind() == GroupOrderKind.PROBE ? decodeReport(order, response) : OrderResponse.DONE;
            case ACCEPTED -> OrderResponse.BEGUN;
            case MISDIRECTED -> OrderResponse.ENDED;
            case CONFLICT -> OrderResponse.REFUSED;
            default -> order.kind().endsMembership() ? OrderResponse.INCONCLUSIVE : OrderResponse.REFUSED;
        };
    }

    /** An engine may give its report whichever VM the request names. A member of a group has accepted orders. */
    private static OrderResponse decodeReport(GroupOrder probe, OneShotHttpClient.Response response) {
        final EngineReport report = EngineReport.parse(response.body());
        final long startMs = probe.vm().incarnation();
        final boolean otherStart = report.startMs().orElse(startMs) != startMs;
        final boolean neverJoined =
                report.startMs().isEmpty() && report.acceptedOrders().orElse(1) == 0;
        return otherStart || neverJoined ? OrderResponse.ENDED : OrderResponse.DONE;
    }

    private static ImmutableMap<String, Object> fields(GroupOrder order) {
        final ImmutableMap.Builder<String, Object> fields = ImmutableMap.<String, Object>builder()
                .put("operation", operation(order.kind()))
                .put("fencingToken", order.fencingTerm());
        if (order.kind() == GroupOrderKind.STAGE) {
            return fields.put("model", order.model().value()).buildOrThrow();
        }
        fields.put("group", order.group().value()).put("epoch", order.epoch());
        switch (order.kind()) {
            case JOIN ->
                fields.put("model", order.model().value())
                        .put(
                                "members",
                                order.members().stream().map(VmName::value).toList());
            case CLOSE_WHEN_DONE -> fields.put("method", "wait");
            case CLOSE_NOW -> fields.put("method", "evict");
            case OPEN, LEAVE, STAGE, PROBE -> {}
        }
        return fields.buildOrThrow();
    }

    private static String operation(GroupOrderKind kind) {
        return switch (kind) {
            case JOIN -> "join";
            case OPEN -> "open";
            case CLOSE_WHEN_DONE, CLOSE_NOW -> "close";
            case LEAVE -> "leave";
            // The platform's name for loading weights onto the host.
            case STAGE -> "phase";
            case PROBE -> throw new IllegalArgumentException("a probe has no operation");
        };
    }
}

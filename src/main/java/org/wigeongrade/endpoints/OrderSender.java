package org.wigeongrade.endpoints;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.placement.Order;
import org.wigeongrade.decisions.placement.OrderKind;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Sends orders to engine VMs. If an order gets no response, the next plan sends it again.
 *
 * <p>Invariant: an order is sent before its deadline or not at all. Thread safe.
 */
public final class OrderSender {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PATH = "/v1/orders";
    private static final int HTTP_OK = 200;

    private final EndpointClient client;
    private final EventLog events;
    private final WaitClock waitClock;
    private final Duration timeout;

    public OrderSender(EndpointClient client, EventLog events, WaitClock waitClock, Duration timeout) {
        this.client = client;
        this.events = events;
        this.waitClock = waitClock;
        this.timeout = timeout;
    }

    /** Sends the order asynchronously and logs the VM's response. */
    public void send(Order order) {
        final EndpointRequest request = new EndpointRequest(
                new AttemptId("order/" + order.fencingToken().term() + "/"
                        + order.fencingToken().sequence()),
                order.address(),
                "POST",
                PATH,
                ImmutableMap.of("Content-Type", "application/json"),
                json(order).getBytes(StandardCharsets.UTF_8),
                0,
                waitClock.nowNanos() + timeout.toNanos(),
                timeout,
                timeout);
        client.send(request, new ResponseLogger(order));
    }

    private static String json(Order order) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.put("order", order.kind().label());
        body.put("group", order.group().value());
        body.put("term", order.fencingToken().term());
        body.put("sequence", order.fencingToken().sequence());
        if (order.kind() == OrderKind.JOIN) {
            final ArrayNode members = body.putArray("members");
            order.members().forEach(member -> members.add(member.value()));
            order.modelVersion().ifPresent(version -> body.put("model_version", version.value()));
            order.weights().ifPresent(weights -> body.put("weights", weights));
        }
        return body.toString();
    }

    /** Logs the response to one order. Called by one event loop. */
    private final class ResponseLogger implements ResponseListener {
        private final Order order;

        ResponseLogger(Order order) {
            this.order = order;
        }

        @Override
        public void onHead(ResponseHead head) {
            if (head.status() == HTTP_OK) {
                events.write(
                        LogEvent.ORDER_SENT,
                        order.kind().label(),
                        order.group(),
                        order.vm().vm(),
                        order.fencingToken());
                return;
            }
            logRefusal("status " + head.status());
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            readMore.run();
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(SendFailure failure, String detail) {
            logRefusal(detail);
        }

        private void logRefusal(String cause) {
            events.write(
                    LogEvent.ORDER_REFUSED,
                    order.kind().label(),
                    order.group(),
                    order.vm().vm(),
                    cause);
        }
    }
}

package org.wigeongrade.endpoints;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.placement.Order;
import org.wigeongrade.decisions.placement.OrderKind;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Gives orders to engine VMs. An order that gets no answer is given again by the next plan.
 *
 * <p>Invariant: an order is sent before its deadline or not at all. Thread safe.
 */
public final class OrderSender {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PATH = "/v1/orders";
    private static final int HTTP_OK = 200;

    private final EndpointClient client;
    private final EventLog events;
    private final LongSupplier nanoClock;
    private final Duration timeout;

    public OrderSender(EndpointClient client, EventLog events, LongSupplier nanoClock, Duration timeout) {
        this.client = client;
        this.events = events;
        this.nanoClock = nanoClock;
        this.timeout = timeout;
    }

    /** Sends the order and logs how the VM answered. */
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
                nanoClock.getAsLong() + timeout.toNanos(),
                timeout,
                timeout);
        client.send(request, new AnswerLogger(order));
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

    /** Logs the answer to one order. Called by one event loop. */
    private final class AnswerLogger implements AnswerListener {
        private final Order order;

        AnswerLogger(Order order) {
            this.order = order;
        }

        @Override
        public void onHead(AnswerHead head) {
            if (head.status() == HTTP_OK) {
                events.write(
                        LogEvent.ORDER_SENT,
                        order.kind().label(),
                        order.group(),
                        order.vm().vm(),
                        order.fencingToken());
                return;
            }
            refused("status " + head.status());
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            readMore.run();
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(SendFailure failure, String detail) {
            refused(detail);
        }

        private void refused(String cause) {
            events.write(
                    LogEvent.ORDER_REFUSED,
                    order.kind().label(),
                    order.group(),
                    order.vm().vm(),
                    cause);
        }
    }
}

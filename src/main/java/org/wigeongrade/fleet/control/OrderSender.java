package org.wigeongrade.fleet.control;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.GroupOrderKind;
import org.wigeongrade.decisions.grouping.OrderResponse;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Sends orders to endpoint VMs and passes on their outcomes.
 *
 * <p>Invariant: a limited number of orders is without an answer at any time; the others wait in the order in which they
 * were given. Thread safe; no lock is held while an order is sent.
 */
final class OrderSender {
    /** Timeout of an order, in milliseconds; VMs respond immediately, and the network delay is a few milliseconds. */
    private static final int ORDER_TIMEOUT_MS = 450;
    /** Timeout of a probe, in milliseconds; a VM counts as lost only after two probes. */
    private static final int PROBE_TIMEOUT_MS = 250;

    /**
     * Maximum number of orders and probes without an answer. Each one holds a connection; the members of a few dozen
     * groups can be asked at once.
     */
    private static final int MAX_UNANSWERED = 400;

    private final OneShotHttpClient httpClient;
    private final OrderCodec codec;
    private final EventLog events;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    /** Guarded by {@code waiting}. */
    private int unanswered;

    OrderSender(OneShotHttpClient httpClient, OrderCodec codec, EventLog events) {
        this.httpClient = httpClient;
        this.codec = codec;
        this.events = events;
    }

    /**
     * Sends an order, or queues it while too many are unanswered, and calls {@code onOutcome} with the outcome in the
     * response, or with the outcome that a failure implies.
     */
    void send(GroupOrder order, BiConsumer<GroupOrder, OrderResponse> onOutcome) {
        final boolean sendsNow;
        synchronized (waiting) {
            sendsNow = unanswered < MAX_UNANSWERED;
            if (sendsNow) {
                unanswered++;
            } else {
                waiting.addLast(() -> sendNow(order, onOutcome));
            }
        }
        if (sendsNow) {
            sendNow(order, onOutcome);
        }
    }

    private void sendNow(GroupOrder order, BiConsumer<GroupOrder, OrderResponse> onOutcome) {
        final HostAndPort target = HostAndPort.fromString(order.address());
        final InetSocketAddress address =
                new InetSocketAddress(InetAddresses.forString(target.getHost()), target.getPort());
        events.write(
                LogEvent.ORDER_SENT,
                order.kind(),
                order.group(),
                order.vm(),
                order.fencingTerm() + "." + order.epoch());
        final var unused = httpClient
                .send(address, codec.encode(order), timeoutMs(order.kind()))
                .whenComplete((response, failure) -> {
                    sendNextWaiting();
                    final OrderResponse outcome = failure == null ? codec.decode(order, response) : outcomeOf(failure);
                    if (outcome != OrderResponse.BEGUN && outcome != OrderResponse.DONE) {
                        final String cause = failure == null ? "status " + response.status() : failure.toString();
                        events.write(
                                LogEvent.ORDER_REFUSED,
                                order.kind(),
                                order.group(),
                                order.vm(),
                                outcome + ", " + cause);
                    }
                    onOutcome.accept(order, outcome);
                });
    }

    private void sendNextWaiting() {
        final Optional<Runnable> next;
        synchronized (waiting) {
            next = Optional.ofNullable(waiting.pollFirst());
            if (next.isEmpty()) {
                unanswered--;
            }
        }
        next.ifPresent(Runnable::run);
    }

    private static int timeoutMs(GroupOrderKind kind) {
        return kind == GroupOrderKind.PROBE ? PROBE_TIMEOUT_MS : ORDER_TIMEOUT_MS;
    }

    private static OrderResponse outcomeOf(Throwable failure) {
        final boolean refused = failure instanceof ConnectException
                && String.valueOf(failure.getMessage()).contains("refused");
        return refused ? OrderResponse.NO_LISTENER : OrderResponse.NONE;
    }
}

package org.wigeongrade.fleet.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.GroupOrderKind;
import org.wigeongrade.decisions.grouping.OrderResponse;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.platform.PlatformOrderCodec;
import org.wigeongrade.responses.BrokenResponses;
import org.wigeongrade.responses.ScriptedEndpoint;
import org.wigeongrade.responses.SoundResponses;

/** Pattern: a leader sends an order to a VM that answers with bytes that are no response. */
final class BrokenOrderResponseTest {
    private static final long END_WITHIN_MS = 5_000;

    private final SharedEventLoop loop = new SharedEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    /** An order counted as refused, or as carried out, after bytes that tell nothing about the VM's state. */
    @ParameterizedTest
    @MethodSource("org.wigeongrade.responses.BrokenResponses#withBothEnds")
    void brokenResponseLeavesTheStateUnknown(BrokenResponses broken, ScriptedEndpoint.End end) throws Exception {
        try (ScriptedEndpoint vm = new ScriptedEndpoint(broken.bytes(), end)) {
            assertThat(send(vm, GroupOrderKind.JOIN)).isEqualTo(OrderResponse.NONE);
        }
    }

    /** A probe took a status that is none for an answer of a VM that lives. */
    @ParameterizedTest
    @CsvSource({"PROBE, STATUS_000", "PROBE, STATUS_600", "LEAVE, STATUS_000", "LEAVE, BLANK_IN_A_NAME"})
    void brokenResponseTellsNothingToAnyKindOfOrder(GroupOrderKind kind, BrokenResponses broken) throws Exception {
        try (ScriptedEndpoint vm = new ScriptedEndpoint(broken.bytes(), ScriptedEndpoint.End.STAYS_OPEN)) {
            assertThat(send(vm, kind)).isEqualTo(OrderResponse.NONE);
        }
    }

    /** Guards against a check of responses that fails those which VMs may send. */
    @ParameterizedTest
    @EnumSource(SoundResponses.class)
    void soundResponseIsTaken(SoundResponses sound) throws Exception {
        try (ScriptedEndpoint vm = new ScriptedEndpoint(sound.bytes(), ScriptedEndpoint.End.CLOSED)) {
            assertThat(send(vm, GroupOrderKind.JOIN))
                    .isEqualTo(sound.status() == 200 ? OrderResponse.DONE : OrderResponse.REFUSED);
        }
    }

    private OrderResponse send(ScriptedEndpoint vm, GroupOrderKind kind) throws Exception {
        final OrderSender sender =
                new OrderSender(new OneShotHttpClient(loop), new PlatformOrderCodec(), new EventLog());
        final CompletableFuture<OrderResponse> outcome = new CompletableFuture<>();
        sender.send(order(vm, kind), (order, response) -> outcome.complete(response));
        return outcome.get(END_WITHIN_MS, TimeUnit.MILLISECONDS);
    }

    private static GroupOrder order(ScriptedEndpoint vm, GroupOrderKind kind) {
        return new GroupOrder(
                kind,
                new VmIncarnation(VmName.of("vm-1"), 1),
                "127.0.0.1:" + vm.port(),
                1,
                GroupName.of("group-1"),
                1,
                ModelVersionName.of("model"),
                List.of(VmName.of("vm-1")));
    }
}

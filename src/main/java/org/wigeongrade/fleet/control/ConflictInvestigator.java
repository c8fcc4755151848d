package org.wigeongrade.fleet.control;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.discovery.ConflictVerdict;
import org.wigeongrade.decisions.discovery.IdentityConflict;
import org.wigeongrade.decisions.discovery.IdentityResponse;
import org.wigeongrade.decisions.discovery.ProcessKey;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Decides which of several contradicting heartbeats is right. The leader asks the processes at the addresses; other nodes
 * wait until all but one have fallen silent.
 *
 * <p>Invariant: a limited number of questions is without a response at any time, and a question changes nothing at the VM.
 * Thread safe; holds no lock while it asks.
 */
final class ConflictInvestigator {
    /** Timeout of a question, in milliseconds; VMs respond immediately, and the network delay is a few milliseconds. */
    private static final int QUESTION_TIMEOUT_MS = 250;
    /**
     * Time without a heartbeat after which a VM is silent for a node that does not lead, which gets most heartbeats late and
     * from other nodes.
     */
    private static final long FOLLOWER_SILENT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Maximum number of conflicts that are asked about at once; each takes at most two connections. */
    private static final int MAX_ASKED = 100;

    private final VmRegistry registry;
    private final ConfiguredServices services;
    private final OneShotHttpClient httpClient;
    private final VmIdentityCodec codec;
    private final BooleanSupplier leads;
    private final long silentNanos;
    private final Consumer<VmHeartbeat> onRecorded;
    private final EventLog events;
    private final WaitClock waitClock;
    private final AtomicInteger asked = new AtomicInteger();

    /**
     * @param leads whether this node leads, so that its decisions matter
     * @param silentNanos time without a heartbeat after which a VM is silent for a leader
     * @param onRecorded called when a heartbeat is recorded that was contested
     */
    ConflictInvestigator(
            VmRegistry registry,
            ConfiguredServices services,
            OneShotHttpClient httpClient,
            VmIdentityCodec codec,
            BooleanSupplier leads,
            long silentNanos,
            Consumer<VmHeartbeat> onRecorded,
            EventLog events,
            WaitClock waitClock) {
        this.registry = registry;
        this.services = services;
        this.httpClient = httpClient;
        this.codec = codec;
        this.leads = leads;
        this.silentNanos = silentNanos;
        this.onRecorded = onRecorded;
        this.events = events;
        this.waitClock = waitClock;
    }

    /** Asks about the conflicts that are due. */
    void investigate() {
        final boolean asks = leads.getAsBoolean();
        final int free = Math.max(0, MAX_ASKED - asked.get());
        for (final IdentityConflict conflict : registry.takeDueConflicts(free, waitClock.nowNanos())) {
            if (!asks) {
                settle(conflict, ConflictVerdict.UNDECIDED, FOLLOWER_SILENT_NANOS);
                continue;
            }
            asked.incrementAndGet();
            final var unused = judge(conflict).whenComplete((verdict, failure) -> {
                asked.decrementAndGet();
                if (failure != null) {
                    events.writeWithStackTrace(LogEvent.PLACEMENT_FAILED, failure, failure);
                }
                settle(conflict, failure == null ? verdict : ConflictVerdict.UNDECIDED, silentNanos);
            });
        }
    }

    /** Asks whether a process is still at its address; no response is assumed while too many questions have none. */
    CompletableFuture<IdentityResponse> ask(ProcessKey process) {
        if (asked.get() >= MAX_ASKED) {
            return CompletableFuture.completedFuture(IdentityResponse.NONE);
        }
        asked.incrementAndGet();
        return send(process, false).whenComplete((response, failure) -> asked.decrementAndGet());
    }

    private CompletableFuture<ConflictVerdict> judge(IdentityConflict conflict) {
        final VmHeartbeat heartbeat = conflict.heartbeat();
        final CompletableFuture<Optional<IdentityResponse>> elsewhere = conflict.rivalElsewhere()
                .map(rival -> send(ProcessKey.of(rival.heartbeat()), false).thenApply(Optional::of))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
        final boolean startMatters = services.runsEngine(heartbeat.service())
                || conflict.rivals().stream()
                        .anyMatch(rival -> services.runsEngine(rival.heartbeat().service()));
        return send(ProcessKey.of(heartbeat), conflict.sharesStart())
                .thenCombine(elsewhere, (own, other) -> conflict.judge(own, other, startMatters));
    }

    /** @param nameMatters whether an engine is asked for its health, which states its name, and not for its start */
    private CompletableFuture<IdentityResponse> send(ProcessKey process, boolean nameMatters) {
        final boolean engine = services.runsEngine(process.service());
        final Optional<String> healthPath =
                services.healthPath(process.service()).filter(path -> nameMatters || !engine);
        if (!engine && healthPath.isEmpty()) {
            return CompletableFuture.completedFuture(IdentityResponse.NONE);
        }
        final VmIdentityCodec.Question question =
                new VmIdentityCodec.Question(process.vm(), process.address(), healthPath);
        final HostAndPort target = HostAndPort.fromString(process.address());
        return httpClient
                .send(
                        new InetSocketAddress(InetAddresses.forString(target.getHost()), target.getPort()),
                        codec.encode(question),
                        QUESTION_TIMEOUT_MS)
                .handle((response, failure) -> {
                    if (failure != null) {
                        events.write(LogEvent.ENDPOINT_QUESTION_UNANSWERED, process.vm(), process.address(), failure);
                        return IdentityResponse.NONE;
                    }
                    return codec.decode(question, response);
                });
    }

    private void settle(IdentityConflict conflict, ConflictVerdict verdict, long othersSilentNanos) {
        final VmHeartbeat heartbeat = conflict.heartbeat();
        final boolean news =
                registry.verdictOn(heartbeat).filter(verdict::equals).isEmpty();
        final boolean recorded = registry.settle(conflict, verdict, othersSilentNanos, waitClock.nowNanos());
        if (news || recorded) {
            events.write(
                    LogEvent.ENDPOINT_CONFLICT_SETTLED,
                    heartbeat.vm(),
                    heartbeat.address(),
                    recorded ? "recorded" : "not recorded",
                    verdict,
                    conflict.rivals().stream().map(VmRecord::vm).toList());
        }
        if (recorded) {
            onRecorded.accept(heartbeat);
        }
    }
}

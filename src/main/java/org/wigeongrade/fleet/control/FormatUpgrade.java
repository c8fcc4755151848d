package org.wigeongrade.fleet.control;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.log.RaftReplicatedLog;

/**
 * Lets the replicated log use the newest format of commands that all control VMs support.
 *
 * <p>Invariant: at most one proposal is pending. Thread safe.
 */
final class FormatUpgrade {
    /** Exchanges that each running control VM has had time for before its silence counts as absence. */
    private static final int EXCHANGES_AWAITED = 6;

    private static final long ANNOUNCEMENT_WAIT_NANOS =
            TimeUnit.MILLISECONDS.toNanos((long) EXCHANGES_AWAITED * FleetTimings.EXCHANGE_INTERVAL_MS);

    private final NodeName self;
    private final RaftReplicatedLog log;
    private final PublishedStateMachine stateMachine;
    private final PeerFormats peerFormats;
    private final EventLog events;
    private final long firstProposalNanos;
    private final AtomicBoolean pending = new AtomicBoolean();

    /** @param startedNanos start of this node on its monotonic clock */
    FormatUpgrade(
            NodeName self,
            RaftReplicatedLog log,
            PublishedStateMachine stateMachine,
            PeerFormats peerFormats,
            EventLog events,
            long startedNanos) {
        this.self = self;
        this.log = log;
        this.stateMachine = stateMachine;
        this.peerFormats = peerFormats;
        this.events = events;
        this.firstProposalNanos = startedNanos + ANNOUNCEMENT_WAIT_NANOS;
    }

    /** Proposes the newest format that every control VM supports, if it is not used yet; called by the leader. */
    void proposeIfSupported(long nowNanos) {
        final int formatInUse = stateMachine.state().format();
        if (formatInUse >= CommandFormat.LATEST || nowNanos - firstProposalNanos < 0) {
            return;
        }
        final int format = peerFormats.newestCommon(
                formatInUse, self, log.membership().incarnations().keySet());
        if (format == formatInUse || !pending.compareAndSet(false, true)) {
            return;
        }
        final var unused = log.submit(new PublishedCommand.UseFormat(format).encode())
                .whenComplete((result, failure) -> {
                    pending.set(false);
                    events.write(
                            LogEvent.COMMAND_FORMAT_PROPOSED,
                            format,
                            failure == null ? "in use" : "outcome unknown: " + failure.getMessage());
                });
    }
}

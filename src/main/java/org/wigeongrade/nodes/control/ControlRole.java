package org.wigeongrade.nodes.control;

import com.google.common.util.concurrent.Uninterruptibles;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.ControlCodec;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.outcomes.QuarantineProposal;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.NodeTimings;
import org.wigeongrade.nodes.log.ReplicatedLog;
import org.wigeongrade.nodes.log.ReplicatedStateMachine;
import org.wigeongrade.nodes.thrift.PullReply;
import org.wigeongrade.nodes.thrift.PullRequest;

/**
 * The control role of one VM: its replica of the log and state, and the leader's work while it leads.
 *
 * <p>Invariant: an answer to a pull leaves only if the leader's lease is still valid after the answer was made. Thread
 * safe: {@code leadership} is guarded by this object's lock, which is taken before every other lock here.
 */
public final class ControlRole implements AutoCloseable {
    private static final long COMMIT_TIMEOUT_MS = 3_000;
    private static final long QUARANTINE_MS = TimeUnit.HOURS.toMillis(1);

    private final NodeName self;
    private final NodeTimings timings;
    private final LongSupplier nanoClock;
    private final LongSupplier epochMsClock;
    private final EventLog events;
    private final ControlState state = new ControlState();
    private final PullAnswerer answerer;
    private final ReplicatedLog log;
    private Optional<Leadership> leadership = Optional.empty();

    /** Opens the replicated log by {@code openLog} and joins its peers. */
    public ControlRole(
            NodeName self,
            NodeTimings timings,
            Function<ReplicatedStateMachine, ReplicatedLog> openLog,
            LongSupplier nanoClock,
            LongSupplier epochMsClock,
            EventLog events) {
        this.self = self;
        this.timings = timings;
        this.nanoClock = nanoClock;
        this.epochMsClock = epochMsClock;
        this.events = events;
        this.answerer = new PullAnswerer(state, timings, nanoClock);
        this.log = openLog.apply(new ControlStateMachine(state));
    }

    /** Returns the replicated state of this VM; on a follower it may lag. */
    public ControlState state() {
        return state;
    }

    /** Returns the node that leads, if this VM knows one. */
    public Optional<NodeName> leader() {
        return log.leader();
    }

    /** Answers a pull; without a valid leader's lease the answer only names the leader. */
    public PullReply pull(PullRequest request) {
        final Optional<Leadership> current = leadership();
        if (current.isEmpty()) {
            return notLeading();
        }
        answerer.takeIn(request, current.get()).forEach(this::quarantine);
        final PullReply reply = answerer.answer(request, current.get());
        return stillLeads(current.get()) ? reply : notLeading();
    }

    /**
     * Proposes a command and waits for its result.
     *
     * @throws WigeongradeException with kind CONTROL_UNAVAILABLE if this VM does not lead, OUTCOME_UNKNOWN if the command
     *     may or may not take effect
     */
    public byte[] submit(byte[] command) {
        try {
            final Command stamped = CommandClock.stamp(ControlCodec.decodeCommand(command), epochMsClock.getAsLong());
            final CompletableFuture<byte[]> result = log.submit(ControlCodec.encode(stamped));
            return Uninterruptibles.getUninterruptibly(result, COMMIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException failure) {
            if (failure.getCause() instanceof WigeongradeException known) {
                throw known;
            }
            throw new WigeongradeException(ErrorKind.INTERNAL, "the command failed: " + failure.getCause(), failure);
        } catch (TimeoutException failure) {
            throw new WigeongradeException(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "no quorum committed the command within " + COMMIT_TIMEOUT_MS + " ms",
                    failure);
        }
    }

    /** Proposes a command and returns its result; throws like {@link #submit(byte[])}. */
    public CommandResult submit(Command command) {
        return ControlCodec.decodeResult(submit(ControlCodec.encode(command)));
    }

    /** Returns the leader's tables for the current term if this VM leads under a valid lease. */
    synchronized Optional<Leadership> leadership() {
        if (!log.leadsWithLease()) {
            return Optional.empty();
        }
        final long term = log.term();
        if (leadership.filter(known -> known.term() == term).isEmpty()) {
            leadership = Optional.of(new Leadership(term, log.leaderSinceNanos(), timings));
            events.write(LogEvent.LEADER_ELECTED, self, term);
        }
        return leadership;
    }

    /** Returns why the last plan did not form the group; empty if this VM does not lead or the group is not held back. */
    public Optional<String> holdReason(GroupName group) {
        return leadership()
                .map(Leadership::holds)
                .map(holds -> holds.get(group))
                .map(reason -> reason.describe(""));
    }

    long nowNanos() {
        return nanoClock.getAsLong();
    }

    long nowEpochMs() {
        return epochMsClock.getAsLong();
    }

    @Override
    public void close() {
        log.close();
    }

    private boolean stillLeads(Leadership answered) {
        return log.leadsWithLease() && log.term() == answered.term();
    }

    private PullReply notLeading() {
        final PullReply reply = new PullReply();
        reply.setLeads(false);
        reply.setLeader(log.leader().map(NodeName::value).orElse(""));
        reply.setTerm(log.term());
        return reply;
    }

    private void quarantine(QuarantineProposal proposal) {
        final long nowEpochMs = epochMsClock.getAsLong();
        final Command command = new Command.QuarantineRequest(
                proposal.requestDigest(), proposal.reason(), nowEpochMs + QUARANTINE_MS, nowEpochMs);
        events.write(
                LogEvent.REQUEST_QUARANTINED,
                proposal.requestDigest(),
                proposal.endpointsLost().size());
        submit(command);
    }
}

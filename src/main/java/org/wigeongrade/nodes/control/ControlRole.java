package org.wigeongrade.nodes.control;

import com.google.common.util.concurrent.Uninterruptibles;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.wigeongrade.clock.WaitClock;
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
 * The control role of one VM: its replica of the log and the state, and the duties of the leader while this VM is the
 * leader.
 *
 * <p>Invariant: the reply to a pull is sent only if the leader's lease is still valid after the reply was built. Thread
 * safe: {@code leaderState} is guarded by this object's lock, which is acquired before every other lock here.
 */
public final class ControlRole implements AutoCloseable {
    private static final long COMMIT_TIMEOUT_MS = 3_000;
    private static final long QUARANTINE_MS = TimeUnit.HOURS.toMillis(1);

    private final NodeName self;
    private final NodeTimings timings;
    private final WaitClock waitClock;
    private final LongSupplier epochMsClock;
    private final EventLog events;
    private final ControlState state = new ControlState();
    private final PullHandler pullHandler;
    private final ReplicatedLog log;
    private Optional<LeaderState> leaderState = Optional.empty();

    /** Opens the replicated log with {@code openLog}, which joins its peers. */
    public ControlRole(
            NodeName self,
            NodeTimings timings,
            Function<ReplicatedStateMachine, ReplicatedLog> openLog,
            WaitClock waitClock,
            LongSupplier epochMsClock,
            EventLog events) {
        this.self = self;
        this.timings = timings;
        this.waitClock = waitClock;
        this.epochMsClock = epochMsClock;
        this.events = events;
        this.pullHandler = new PullHandler(state, timings, waitClock);
        this.log = openLog.apply(new ControlStateMachine(state));
    }

    /** Returns this VM's replica of the control state; on a follower it may lag. */
    public ControlState state() {
        return state;
    }

    /** Returns the leader, or empty if this VM knows none. */
    public Optional<NodeName> leader() {
        return log.leader();
    }

    /** Answers a pull. Without a valid leader's lease the reply only names the leader. */
    public PullReply pull(PullRequest request) {
        final Optional<LeaderState> current = leaderState();
        if (current.isEmpty()) {
            return notLeaderReply();
        }
        pullHandler.processReports(request, current.get()).forEach(this::proposeQuarantine);
        final PullReply reply = pullHandler.buildReply(request, current.get());
        return isStillLeader(current.get()) ? reply : notLeaderReply();
    }

    /**
     * Proposes a command and waits for its result.
     *
     * @throws WigeongradeException with kind CONTROL_UNAVAILABLE if this VM is not the leader, OUTCOME_UNKNOWN if the
     *     command may or may not take effect
     */
    public byte[] submit(byte[] command) {
        try {
            final Command timestamped =
                    CommandTimestamps.withTimestamp(ControlCodec.decodeCommand(command), epochMsClock.getAsLong());
            final CompletableFuture<byte[]> result = log.submit(ControlCodec.encode(timestamped));
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

    /** Returns the leader state of the current term, or empty if this VM is not the leader with a valid lease. */
    synchronized Optional<LeaderState> leaderState() {
        if (!log.isLeaderWithLease()) {
            return Optional.empty();
        }
        final long term = log.term();
        if (leaderState.filter(known -> known.term() == term).isEmpty()) {
            leaderState = Optional.of(new LeaderState(term, log.leaderSinceNanos(), timings, state, events));
            events.write(LogEvent.LEADER_ELECTED, self, term);
        }
        return leaderState;
    }

    /**
     * Returns why the last placement plan did not form the group; empty if this VM is not the leader or that plan did
     * not hold the group back.
     */
    public Optional<String> holdReason(GroupName group) {
        return leaderState()
                .map(LeaderState::holds)
                .map(holds -> holds.get(group))
                .map(reason -> reason.describe(""));
    }

    long nowNanos() {
        return waitClock.nowNanos();
    }

    long nowEpochMs() {
        return epochMsClock.getAsLong();
    }

    @Override
    public void close() {
        log.close();
    }

    private boolean isStillLeader(LeaderState expected) {
        return log.isLeaderWithLease() && log.term() == expected.term();
    }

    private PullReply notLeaderReply() {
        final PullReply reply = new PullReply();
        reply.setLeads(false);
        reply.setLeader(log.leader().map(NodeName::value).orElse(""));
        reply.setTerm(log.term());
        return reply;
    }

    private void proposeQuarantine(QuarantineProposal proposal) {
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

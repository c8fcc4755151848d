package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.wigeongrade.ids.NodeName;

/**
 * One replica of the log: messages, ticks, proposals and persist completions go in, {@link Outputs} come out.
 *
 * <p>Invariants: at most one leader for each term; a committed entry is never lost while a quorum of disks survives; two
 * leaders never hold a lease at once, given clocks whose rates differ by less than the lease's margin. After a halt it
 * does nothing more. Not thread safe.
 */
public final class RaftCore {
    private final CoreState state;
    private final Bootstrap bootstrap;
    private final Election election;
    private final Following following;
    private Optional<Leading> leading = Optional.empty();

    public RaftCore(CoreSettings settings, RecoveredState recovered, RandomGenerator random, long nowNanos) {
        this.state = new CoreState(settings, recovered, random, nowNanos);
        this.bootstrap = new Bootstrap(state, nowNanos);
        this.election = new Election(state);
        this.following = new Following(state);
    }

    /** Lets time pass; call it several times in each heartbeat interval. */
    public void tick(long nowNanos) {
        if (state.halted.isPresent()) {
            return;
        }
        bootstrap.tick(nowNanos);
        if (leading.isPresent() && leading.get().lostQuorum(nowNanos)) {
            stepDown(Optional.empty(), nowNanos);
        }
        leading.ifPresent(leader -> leader.tick(nowNanos));
        if (election.tick(nowNanos)) {
            lead(nowNanos);
        }
    }

    /** Takes the news that a control VM exists; a leader sends to it from its next heartbeat on. */
    public void discover(NodeName peer) {
        if (!peer.equals(state.self.name())) {
            state.discovered.add(peer);
        }
    }

    /** Takes a message from a peer. */
    public void receive(NodeName from, LogMessage message, long nowNanos) {
        if (state.halted.isPresent()) {
            return;
        }
        if (message instanceof LogMessage.VoteRequest request) {
            election.onRequest(from, request, nowNanos);
        } else if (message instanceof LogMessage.VoteReply reply) {
            onVoteReply(from, reply, nowNanos);
        } else if (message instanceof LogMessage.AppendRequest request) {
            onAppend(from, request, nowNanos);
        } else if (message instanceof LogMessage.AppendReply reply) {
            onAppendReply(from, reply, nowNanos);
        } else if (message instanceof LogMessage.SnapshotChunk chunk) {
            onChunk(from, chunk, nowNanos);
        } else if (message instanceof LogMessage.SnapshotReply reply) {
            onSnapshotReply(from, reply, nowNanos);
        } else if (message instanceof LogMessage.HandOver handOver) {
            onHandOver(handOver, nowNanos);
        } else if (message instanceof LogMessage.EmptyProbe probe) {
            bootstrap.onProbe(from, probe);
        } else if (message instanceof LogMessage.EmptyProbeReply reply) {
            bootstrap.onReply(from, reply);
        }
    }

    /** Appends a command if this replica leads; returns its index. */
    public OptionalLong propose(Bytes command) {
        if (state.halted.isPresent() || leading.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(leading.get().append(EntryKind.COMMAND, command));
    }

    /** Proposes a membership that differs by one voter; empty if not leading or if another change is under way. */
    public OptionalLong proposeMembership(Membership next) {
        return leading.isEmpty() ? OptionalLong.empty() : leading.get().proposeMembership(next);
    }

    /** Gives up the lead, and tells the voter that holds most of the log to stand; does nothing if not leading. */
    public void handOver(long nowNanos) {
        if (state.halted.isPresent() || leading.isEmpty()) {
            return;
        }
        Optional<Member> successor = leading.get().successor(nowNanos);
        leading.get().flush(nowNanos);
        stepDown(Optional.empty(), nowNanos);
        successor.ifPresent(next -> state.send(next.name(), new LogMessage.HandOver(state.term, next.incarnation())));
    }

    /** Takes the news that the entries up to the one with this index and term are synced. */
    public void persisted(long index, long term) {
        if (state.log.hasTermAt(index, term)) {
            state.durableIndex = Math.max(state.durableIndex, index);
        }
    }

    /** Takes a snapshot of the state machine at the applied index and drops all but the last entries before it. */
    public Snapshot compact(Bytes machineState, long entriesToKeep) {
        long index = state.appliedIndex;
        Position position = state.log.at(index).orElseThrow();
        Snapshot taken = new Snapshot(position, state.log.membershipAt(index), machineState);
        long baseIndex = Math.max(state.log.base().index(), index - entriesToKeep);
        state.log.compact(taken, state.log.at(baseIndex).orElseThrow());
        return taken;
    }

    /** Returns what to do since the last call. */
    public Outputs drain(long nowNanos) {
        leading.ifPresent(leader -> leader.flush(nowNanos));
        Outputs drained = state.outputs;
        state.outputs = new Outputs();
        return drained;
    }

    public Role role() {
        return state.role;
    }

    public long term() {
        return state.term;
    }

    public Optional<NodeName> leader() {
        return state.leader;
    }

    public long commitIndex() {
        return state.commitIndex;
    }

    public long appliedIndex() {
        return state.appliedIndex;
    }

    public Position base() {
        return state.log.base();
    }

    public Position last() {
        return state.log.last();
    }

    /** Returns the entry at an index if it is held in memory. */
    public Optional<LogEntry> entry(long index) {
        return state.log.entry(index);
    }

    /** Returns every entry after the base. */
    public ImmutableList<LogEntry> entriesFromBase() {
        return state.log.from(state.log.base().index() + 1, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    /** Returns the index of the latest snapshot, 0 if there is none. */
    public long snapshotIndex() {
        return state.log.snapshot().map(taken -> taken.position().index()).orElse(0L);
    }

    /** Returns about how much memory the entries after the base take. */
    public long retainedBytes() {
        return state.log.retainedBytes();
    }

    public Membership membership() {
        return state.log.membership();
    }

    public boolean isVoter() {
        return state.isVoter();
    }

    /** Returns until when this leader holds its lease, on its own clock; empty if it holds none. */
    public OptionalLong leaseDeadlineNanos(long nowNanos) {
        return leading.isEmpty() ? OptionalLong.empty() : leading.get().leaseDeadlineNanos(nowNanos);
    }

    /** Returns when this replica became leader; empty if it does not lead. */
    public OptionalLong leaderSinceNanos() {
        return leading.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(leading.get().sinceNanos());
    }

    private void onHandOver(LogMessage.HandOver handOver, long nowNanos) {
        if (election.onHandOver(handOver, nowNanos)) {
            lead(nowNanos);
        }
    }

    private void onVoteReply(NodeName from, LogMessage.VoteReply reply, long nowNanos) {
        if (sawNewerTerm(reply.term(), nowNanos)) {
            return;
        }
        if (election.onReply(from, reply, nowNanos)) {
            lead(nowNanos);
        }
    }

    private void onAppend(NodeName from, LogMessage.AppendRequest request, long nowNanos) {
        if (acceptsLeader(from, request.term(), nowNanos)) {
            following.onAppend(from, request);
            return;
        }
        long lastIndex = state.log.lastIndex();
        state.send(
                from,
                new LogMessage.AppendReply(
                        state.term, state.self.incarnation(), false, lastIndex, 0, request.sentNanos()));
    }

    private void onChunk(NodeName from, LogMessage.SnapshotChunk chunk, long nowNanos) {
        if (acceptsLeader(from, chunk.term(), nowNanos)) {
            following.onChunk(from, chunk);
        }
    }

    private boolean acceptsLeader(NodeName from, long term, long nowNanos) {
        if (term < state.term) {
            return false;
        }
        if (term > state.term) {
            state.adoptTerm(term, Optional.empty());
        }
        stepDown(Optional.of(from), nowNanos);
        state.heardFromLeader(nowNanos);
        return true;
    }

    private void onAppendReply(NodeName from, LogMessage.AppendReply reply, long nowNanos) {
        if (!sawNewerTerm(reply.term(), nowNanos) && reply.term() == state.term) {
            leading.ifPresent(leader -> leader.onAppendReply(from, reply, nowNanos));
        }
    }

    private void onSnapshotReply(NodeName from, LogMessage.SnapshotReply reply, long nowNanos) {
        if (!sawNewerTerm(reply.term(), nowNanos) && reply.term() == state.term) {
            leading.ifPresent(leader -> leader.onSnapshotReply(from, reply, nowNanos));
        }
    }

    private boolean sawNewerTerm(long term, long nowNanos) {
        if (term <= state.term) {
            return false;
        }
        state.adoptTerm(term, Optional.empty());
        stepDown(Optional.empty(), nowNanos);
        return true;
    }

    private void stepDown(Optional<NodeName> newLeader, long nowNanos) {
        if (leading.isPresent()) {
            state.resetElectionDeadline(nowNanos);
        }
        leading = Optional.empty();
        state.follow(newLeader);
    }

    private void lead(long nowNanos) {
        state.role = Role.LEADER;
        state.leader = Optional.of(state.self.name());
        leading = Optional.of(new Leading(state, nowNanos));
    }
}

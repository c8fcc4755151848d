package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.wigeongrade.ids.NodeName;

/**
 * One replica of the Raft log, without I/O of its own. Its inputs are messages, ticks, proposals and completed writes;
 * its results are {@link Outputs}.
 *
 * <p>Invariants: there is at most one leader in each term; a committed entry is never lost while a quorum of disks
 * survives; two leaders never hold a lease at the same time, provided that the clock rates differ by less than the
 * margin between the lease and the shortest election timeout. A halted replica does nothing more. Not thread safe.
 */
public final class RaftCore {
    private final CoreState state;
    private final Bootstrap bootstrap;
    private final Election election;
    private final FollowerRole followerRole;
    private Optional<LeaderRole> leaderRole = Optional.empty();

    public RaftCore(CoreSettings settings, RecoveredState recovered, RandomGenerator random, long nowNanos) {
        this.state = new CoreState(settings, recovered, random, nowNanos);
        this.bootstrap = new Bootstrap(state, nowNanos);
        this.election = new Election(state);
        this.followerRole = new FollowerRole(state);
    }

    /** Handles the passing of time; must be called several times in each heartbeat interval. */
    public void tick(long nowNanos) {
        if (state.halted.isPresent()) {
            return;
        }
        bootstrap.tick(nowNanos);
        if (leaderRole.isPresent() && leaderRole.get().lostQuorum(nowNanos)) {
            stepDown(Optional.empty(), nowNanos);
        }
        leaderRole.ifPresent(leader -> leader.tick(nowNanos));
        if (election.tick(nowNanos)) {
            becomeLeader(nowNanos);
        }
    }

    /** Records that a control VM exists; a leader sends to it from the next heartbeat on. */
    public void addDiscoveredPeer(NodeName peer) {
        if (!peer.equals(state.self.name())) {
            state.discoveredPeers.add(peer);
        }
    }

    /** Handles a message from a peer. */
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
        } else if (message instanceof LogMessage.TransferLeadership transfer) {
            onTransferLeadership(transfer, nowNanos);
        } else if (message instanceof LogMessage.EmptyProbe probe) {
            bootstrap.onProbe(from, probe);
        } else if (message instanceof LogMessage.EmptyProbeReply reply) {
            bootstrap.onReply(from, reply);
        }
    }

    /** Appends a command and returns its index; returns empty if this replica does not lead or is halted. */
    public OptionalLong propose(Bytes command) {
        if (state.halted.isPresent() || leaderRole.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(leaderRole.get().append(EntryKind.COMMAND, command));
    }

    /**
     * Proposes a membership and returns its index. Returns empty if this replica does not lead or if the leader cannot
     * propose it: it must differ by exactly one voter, with no other change pending and an entry of this term
     * committed.
     */
    public OptionalLong proposeMembership(Membership next) {
        return leaderRole.isEmpty() ? OptionalLong.empty() : leaderRole.get().proposeMembership(next);
    }

    /**
     * Gives up leadership and tells the voter with the longest matching log, if one acknowledged a message recently, to
     * start an election. Does nothing if this replica does not lead.
     */
    public void transferLeadership(long nowNanos) {
        if (state.halted.isPresent() || leaderRole.isEmpty()) {
            return;
        }
        Optional<Member> target = leaderRole.get().transferTarget(nowNanos);
        leaderRole.get().sendNewEntries(nowNanos);
        stepDown(Optional.empty(), nowNanos);
        target.ifPresent(
                next -> state.send(next.name(), new LogMessage.TransferLeadership(state.term, next.incarnation())));
    }

    /** Records that the entries up to the one with this index and term are synced to disk. */
    public void onPersisted(long index, long term) {
        if (state.log.hasTermAt(index, term)) {
            state.durableIndex = Math.max(state.durableIndex, index);
        }
    }

    /**
     * Records a snapshot of the state machine at the applied index and returns it. Of the entries up to that index,
     * keeps the last {@code entriesToKeep} and drops the others.
     */
    public Snapshot compact(Bytes machineState, long entriesToKeep) {
        long index = state.appliedIndex;
        Position position = state.log.positionAt(index).orElseThrow();
        Snapshot taken = new Snapshot(position, state.log.membershipAt(index), machineState);
        long baseIndex = Math.max(state.log.base().index(), index - entriesToKeep);
        state.log.compact(taken, state.log.positionAt(baseIndex).orElseThrow());
        return taken;
    }

    /** Returns the outputs since the last call. */
    public Outputs drain(long nowNanos) {
        leaderRole.ifPresent(leader -> leader.sendNewEntries(nowNanos));
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

    /** Returns the entry at an index, if it is in memory. */
    public Optional<LogEntry> entry(long index) {
        return state.log.entry(index);
    }

    /** Returns all entries after the base. */
    public ImmutableList<LogEntry> entriesFromBase() {
        return state.log.entriesFrom(state.log.base().index() + 1, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    /** Returns the index of the latest snapshot, 0 if there is none. */
    public long snapshotIndex() {
        return state.log.snapshot().map(taken -> taken.position().index()).orElse(0L);
    }

    /** Returns the approximate memory use of the entries after the base, in bytes. */
    public long retainedBytes() {
        return state.log.retainedBytes();
    }

    public Membership membership() {
        return state.log.membership();
    }

    public boolean isVoter() {
        return state.isVoter();
    }

    /**
     * Returns when this leader's lease starts: a quorum acknowledged a message that was sent then. Empty if it holds
     * none. The caller counts the lease from then on, on a clock on which it ends no later than on the followers' ones.
     */
    public OptionalLong leaseStartNanos(long nowNanos) {
        return leaderRole.isEmpty() ? OptionalLong.empty() : leaderRole.get().leaseStartNanos(nowNanos);
    }

    /** Returns when this replica became leader; empty if it does not lead. */
    public OptionalLong leaderSinceNanos() {
        return leaderRole.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(leaderRole.get().leaderSinceNanos());
    }

    private void onTransferLeadership(LogMessage.TransferLeadership transfer, long nowNanos) {
        if (election.onTransferLeadership(transfer, nowNanos)) {
            becomeLeader(nowNanos);
        }
    }

    private void onVoteReply(NodeName from, LogMessage.VoteReply reply, long nowNanos) {
        if (stepDownIfNewerTerm(reply.term(), nowNanos)) {
            return;
        }
        if (election.onReply(from, reply, nowNanos)) {
            becomeLeader(nowNanos);
        }
    }

    private void onAppend(NodeName from, LogMessage.AppendRequest request, long nowNanos) {
        if (acceptLeader(from, request.term(), nowNanos)) {
            followerRole.onAppend(from, request);
            return;
        }
        long lastIndex = state.log.lastIndex();
        state.send(
                from,
                new LogMessage.AppendReply(
                        state.term, state.self.incarnation(), false, lastIndex, 0, request.sentNanos()));
    }

    private void onChunk(NodeName from, LogMessage.SnapshotChunk chunk, long nowNanos) {
        if (acceptLeader(from, chunk.term(), nowNanos)) {
            followerRole.onChunk(from, chunk);
        }
    }

    private boolean acceptLeader(NodeName from, long term, long nowNanos) {
        if (term < state.term) {
            return false;
        }
        if (term > state.term) {
            state.adoptTerm(term, Optional.empty());
        }
        stepDown(Optional.of(from), nowNanos);
        state.recordLeaderContact(nowNanos);
        return true;
    }

    private void onAppendReply(NodeName from, LogMessage.AppendReply reply, long nowNanos) {
        if (!stepDownIfNewerTerm(reply.term(), nowNanos) && reply.term() == state.term) {
            leaderRole.ifPresent(leader -> leader.onAppendReply(from, reply, nowNanos));
        }
    }

    private void onSnapshotReply(NodeName from, LogMessage.SnapshotReply reply, long nowNanos) {
        if (!stepDownIfNewerTerm(reply.term(), nowNanos) && reply.term() == state.term) {
            leaderRole.ifPresent(leader -> leader.onSnapshotReply(from, reply, nowNanos));
        }
    }

    private boolean stepDownIfNewerTerm(long term, long nowNanos) {
        if (term <= state.term) {
            return false;
        }
        state.adoptTerm(term, Optional.empty());
        stepDown(Optional.empty(), nowNanos);
        return true;
    }

    private void stepDown(Optional<NodeName> newLeader, long nowNanos) {
        if (leaderRole.isPresent()) {
            state.resetElectionDeadline(nowNanos);
        }
        leaderRole = Optional.empty();
        state.becomeFollower(newLeader);
    }

    private void becomeLeader(long nowNanos) {
        state.role = Role.LEADER;
        state.leader = Optional.of(state.self.name());
        leaderRole = Optional.of(new LeaderRole(state, nowNanos));
    }
}

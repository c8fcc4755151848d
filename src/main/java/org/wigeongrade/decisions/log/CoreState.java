package org.wigeongrade.decisions.log;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.wigeongrade.ids.NodeName;

/**
 * State shared by the components of one replica.
 *
 * <p>Invariant: {@code appliedIndex <= commitIndex <= log.lastIndex()}; the term never decreases. Not thread safe.
 */
final class CoreState {
    final CoreSettings settings;
    final Member self;
    final boolean mayBootstrap;
    final RandomGenerator random;
    final MemoryLog log;
    /** Control VMs that were discovered at run time, in addition to the configured ones. */
    final Set<NodeName> discoveredPeers = new TreeSet<>();

    Outputs outputs = new Outputs();
    Role role = Role.FOLLOWER;
    Optional<NodeName> leader = Optional.empty();
    long term;
    Optional<NodeName> votedFor;
    long commitIndex;
    long appliedIndex;
    long durableIndex;
    long electionDeadlineNanos;
    /**
     * No vote is granted before this time, because a leader that was heard from, perhaps before a restart, may still
     * hold its lease.
     */
    long refuseVotesUntilNanos;

    Optional<HaltReason> halted = Optional.empty();

    CoreState(CoreSettings settings, RecoveredState recovered, RandomGenerator random, long nowNanos) {
        this.settings = settings;
        this.self = new Member(settings.self(), recovered.incarnation());
        this.mayBootstrap = recovered.mayBootstrap();
        this.random = random;
        this.log = new MemoryLog(recovered);
        this.term = recovered.hardState().term();
        this.votedFor = recovered.hardState().votedFor();
        long snapshotIndex =
                recovered.snapshot().map(found -> found.position().index()).orElse(0L);
        this.commitIndex = snapshotIndex;
        this.appliedIndex = snapshotIndex;
        this.durableIndex = log.lastIndex();
        recordLeaderContact(nowNanos);
    }

    boolean isVoter() {
        return log.membership().isVoter(self);
    }

    /** Returns whether this replica has neither stored an entry nor adopted a term yet. */
    boolean isEmpty() {
        return term == 0 && log.lastIndex() == 0;
    }

    void recordLeaderContact(long nowNanos) {
        refuseVotesUntilNanos = nowNanos + settings.timings().electionMinNanos();
        resetElectionDeadline(nowNanos);
    }

    void resetElectionDeadline(long nowNanos) {
        electionDeadlineNanos = nowNanos + settings.timings().randomElectionTimeoutNanos(random);
    }

    void adoptTerm(long newTerm, Optional<NodeName> vote) {
        term = newTerm;
        votedFor = vote;
        outputs.setHardState(new HardState(term, votedFor));
    }

    void becomeFollower(Optional<NodeName> newLeader) {
        role = Role.FOLLOWER;
        leader = newLeader;
    }

    void append(LogEntry entry) {
        log.append(entry);
        outputs.persist(entry);
    }

    void commitUpTo(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, log.lastIndex()));
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            outputs.apply(log.entry(appliedIndex).orElseThrow());
        }
    }

    void halt(HaltReason reason) {
        halted = Optional.of(reason);
        outputs.setHalt(reason);
    }

    void send(NodeName to, LogMessage message) {
        outputs.send(to, message);
    }
}

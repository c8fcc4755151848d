package org.wigeongrade.decisions.log;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.NodeName;

/**
 * Runs for election and answers vote requests.
 *
 * <p>Invariants: each incarnation of a node grants at most one vote in a term, and none while a leader may hold its
 * lease; a pre-vote changes no term; only votes of incarnations in the membership count. Not thread safe.
 */
final class Election {
    private final CoreState state;
    private final Set<NodeName> grantedBy = new HashSet<>();

    Election(CoreState state) {
        this.state = state;
    }

    /** Starts a pre-vote if the election timeout has passed; returns whether this replica is elected at once. */
    boolean tick(long nowNanos) {
        if (state.role == Role.LEADER || !state.isVoter() || nowNanos - state.electionDeadlineNanos < 0) {
            return false;
        }
        state.leader = Optional.empty();
        return campaign(Role.PRE_CANDIDATE, false, nowNanos);
    }

    /**
     * Starts an election without waiting for the timeout or a pre-vote, because the leader of this term transferred its
     * leadership to this replica; returns whether this replica is elected at once.
     */
    boolean onTransferLeadership(LogMessage.TransferLeadership transfer, long nowNanos) {
        boolean forThisNode = transfer.term() == state.term && transfer.incarnation() == state.self.incarnation();
        if (!forThisNode || state.role == Role.LEADER || !state.isVoter()) {
            return false;
        }
        state.leader = Optional.empty();
        state.adoptTerm(state.term + 1, Optional.of(state.self.name()));
        return campaign(Role.CANDIDATE, true, nowNanos);
    }

    void onRequest(NodeName from, LogMessage.VoteRequest request, long nowNanos) {
        if (mustRefuse(request, nowNanos)) {
            reply(from, request, false);
            return;
        }
        if (!request.preVote() && request.term() > state.term) {
            state.adoptTerm(request.term(), Optional.empty());
            state.becomeFollower(Optional.empty());
        }
        boolean voteAvailable = request.preVote()
                ? request.term() > state.term
                : request.term() == state.term
                        && state.votedFor.map(from::equals).orElse(true);
        boolean grant = voteAvailable && isUpToDate(request);
        if (grant && !request.preVote()) {
            state.adoptTerm(state.term, Optional.of(from));
            state.resetElectionDeadline(nowNanos);
        }
        reply(from, request, grant);
    }

    /** Counts a vote; returns whether it wins the election. */
    boolean onReply(NodeName from, LogMessage.VoteReply reply, long nowNanos) {
        if (!reply.granted() || !isForThisElection(reply)) {
            return false;
        }
        if (!state.log.membership().isVoter(new Member(from, reply.incarnation()))) {
            return false;
        }
        grantedBy.add(from);
        return advanceIfQuorumGranted(nowNanos);
    }

    private boolean isForThisElection(LogMessage.VoteReply reply) {
        return switch (state.role) {
            case PRE_CANDIDATE -> reply.preVote() && reply.electionTerm() == state.term + 1;
            case CANDIDATE -> !reply.preVote() && reply.electionTerm() == state.term;
            case FOLLOWER, LEADER -> false;
        };
    }

    /**
     * Turns a pre-candidate with a quorum of granted votes into a candidate; returns whether this replica is elected.
     */
    private boolean advanceIfQuorumGranted(long nowNanos) {
        if (grantedBy.size() < state.log.membership().quorum()) {
            return false;
        }
        if (state.role == Role.CANDIDATE) {
            return true;
        }
        state.adoptTerm(state.term + 1, Optional.of(state.self.name()));
        return campaign(Role.CANDIDATE, false, nowNanos);
    }

    private boolean campaign(Role role, boolean leadershipTransferred, long nowNanos) {
        state.role = role;
        state.resetElectionDeadline(nowNanos);
        grantedBy.clear();
        grantedBy.add(state.self.name());
        boolean preVote = role == Role.PRE_CANDIDATE;
        long electionTerm = preVote ? state.term + 1 : state.term;
        Position last = state.log.last();
        state.log.membership().incarnations().forEach((name, incarnation) -> {
            if (!name.equals(state.self.name())) {
                state.send(
                        name,
                        new LogMessage.VoteRequest(
                                electionTerm, preVote, leadershipTransferred, incarnation, last.index(), last.term()));
            }
        });
        return advanceIfQuorumGranted(nowNanos);
    }

    private boolean mustRefuse(LogMessage.VoteRequest request, long nowNanos) {
        return request.voterIncarnation() != state.self.incarnation()
                || request.term() < state.term
                || state.role == Role.LEADER
                || leaderMayHoldLease(request, nowNanos);
    }

    /**
     * Returns whether a leader may still hold its lease. A leadership transfer proves that none does: the leader of the
     * previous term gave up its lease, and the leases of older terms ended before that term began.
     */
    private boolean leaderMayHoldLease(LogMessage.VoteRequest request, long nowNanos) {
        boolean leaseEnded = request.leadershipTransferred() && !request.preVote() && request.term() > state.term;
        return !leaseEnded && nowNanos - state.refuseVotesUntilNanos < 0;
    }

    private boolean isUpToDate(LogMessage.VoteRequest request) {
        Position last = state.log.last();
        return request.lastTerm() > last.term()
                || (request.lastTerm() == last.term() && request.lastIndex() >= last.index());
    }

    private void reply(NodeName to, LogMessage.VoteRequest request, boolean grant) {
        state.send(
                to,
                new LogMessage.VoteReply(
                        state.term, request.term(), request.preVote(), grant, state.self.incarnation()));
    }
}

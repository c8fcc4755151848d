package org.wigeongrade.decisions.log;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.NodeName;

/**
 * Stands for election and gives votes.
 *
 * <p>Invariants: one vote for each term and incarnation; no vote while a leader may hold its lease; a pre-vote changes
 * no term; only an incarnation in the membership counts. Not thread safe.
 */
final class Election {
    private final CoreState state;
    private final Set<NodeName> granted = new HashSet<>();

    Election(CoreState state) {
        this.state = state;
    }

    /** Starts a pre-vote if the election timeout passed; returns whether it is won at once. */
    boolean tick(long nowNanos) {
        if (state.role == Role.LEADER || !state.isVoter() || nowNanos - state.electionDeadlineNanos < 0) {
            return false;
        }
        state.leader = Optional.empty();
        return stand(Role.PRE_CANDIDATE, false, nowNanos);
    }

    /** Stands at once because the leader of this term gave up; returns whether the election is won at once. */
    boolean onHandOver(LogMessage.HandOver handOver, long nowNanos) {
        boolean meant = handOver.term() == state.term && handOver.incarnation() == state.self.incarnation();
        if (!meant || state.role == Role.LEADER || !state.isVoter()) {
            return false;
        }
        state.leader = Optional.empty();
        state.adoptTerm(state.term + 1, Optional.of(state.self.name()));
        return stand(Role.CANDIDATE, true, nowNanos);
    }

    void onRequest(NodeName from, LogMessage.VoteRequest request, long nowNanos) {
        if (mustRefuse(request, nowNanos)) {
            reply(from, request, false);
            return;
        }
        if (!request.preVote() && request.term() > state.term) {
            state.adoptTerm(request.term(), Optional.empty());
            state.follow(Optional.empty());
        }
        boolean free = request.preVote()
                ? request.term() > state.term
                : request.term() == state.term
                        && state.votedFor.map(from::equals).orElse(true);
        boolean grant = free && isUpToDate(request);
        if (grant && !request.preVote()) {
            state.adoptTerm(state.term, Optional.of(from));
            state.resetElectionDeadline(nowNanos);
        }
        reply(from, request, grant);
    }

    /** Counts a vote; returns whether the election is won by it. */
    boolean onReply(NodeName from, LogMessage.VoteReply reply, long nowNanos) {
        if (!reply.granted() || !isForThisElection(reply)) {
            return false;
        }
        if (!state.log.membership().isVoter(new Member(from, reply.incarnation()))) {
            return false;
        }
        granted.add(from);
        return advance(nowNanos);
    }

    private boolean isForThisElection(LogMessage.VoteReply reply) {
        return switch (state.role) {
            case PRE_CANDIDATE -> reply.preVote() && reply.electionTerm() == state.term + 1;
            case CANDIDATE -> !reply.preVote() && reply.electionTerm() == state.term;
            case FOLLOWER, LEADER -> false;
        };
    }

    private boolean advance(long nowNanos) {
        if (granted.size() < state.log.membership().quorum()) {
            return false;
        }
        if (state.role == Role.CANDIDATE) {
            return true;
        }
        state.adoptTerm(state.term + 1, Optional.of(state.self.name()));
        return stand(Role.CANDIDATE, false, nowNanos);
    }

    private boolean stand(Role role, boolean handedOver, long nowNanos) {
        state.role = role;
        state.resetElectionDeadline(nowNanos);
        granted.clear();
        granted.add(state.self.name());
        boolean preVote = role == Role.PRE_CANDIDATE;
        long electionTerm = preVote ? state.term + 1 : state.term;
        Position last = state.log.last();
        state.log.membership().incarnations().forEach((name, incarnation) -> {
            if (!name.equals(state.self.name())) {
                state.send(
                        name,
                        new LogMessage.VoteRequest(
                                electionTerm, preVote, handedOver, incarnation, last.index(), last.term()));
            }
        });
        return advance(nowNanos);
    }

    private boolean mustRefuse(LogMessage.VoteRequest request, long nowNanos) {
        return request.voterIncarnation() != state.self.incarnation()
                || request.term() < state.term
                || state.role == Role.LEADER
                || leaseMayLast(request, nowNanos);
    }

    /** A hand-over tells that the lease of the term before ended; older ones ended before that term began. */
    private boolean leaseMayLast(LogMessage.VoteRequest request, long nowNanos) {
        boolean ended = request.handedOver() && !request.preVote() && request.term() > state.term;
        return !ended && nowNanos - state.refuseVotesUntilNanos < 0;
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

package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.wigeongrade.ids.NodeName;

/**
 * Leads for one term: replicates and commits entries, maintains the lease and changes the voters.
 *
 * <p>Invariants: the leader commits entries of its own term once enough voters store them, and earlier entries only
 * along with them; the lease starts at a send time that a quorum has acknowledged; a membership change adds or removes
 * one voter. Not thread safe.
 */
final class LeaderRole {
    private static final int MAX_BATCH_ENTRIES = 1_024;
    private static final int MAX_BATCH_BYTES = 256 * 1024;
    private static final int MAX_CHUNK_BYTES = 256 * 1024;
    private static final int MAX_UNACKED_ENTRIES = 8_192;
    private static final int RESEND_AFTER_HEARTBEATS = 5;

    private final CoreState state;
    private final Map<NodeName, PeerProgress> peers = new TreeMap<>();
    private final long leaderSinceNanos;
    private final long firstIndexOfTerm;
    private long nextHeartbeatNanos;

    LeaderRole(CoreState state, long nowNanos) {
        this.state = state;
        this.leaderSinceNanos = nowNanos;
        this.nextHeartbeatNanos = nowNanos;
        addPeers();
        this.firstIndexOfTerm = append(EntryKind.NO_OP, Bytes.EMPTY);
    }

    private void addPeers() {
        addPeers(state.settings.configuredVoters());
        addPeers(state.log.membership().incarnations().keySet());
        addPeers(state.discoveredPeers);
    }

    private void addPeers(Collection<NodeName> names) {
        for (NodeName name : names) {
            if (!name.equals(state.self.name())) {
                peers.computeIfAbsent(name, unused -> new PeerProgress(state.log.lastIndex() + 1));
            }
        }
    }

    long leaderSinceNanos() {
        return leaderSinceNanos;
    }

    /**
     * Returns whether an entry of this term is committed, so that this leader knows every entry committed in earlier
     * terms.
     */
    boolean hasCommittedInTerm() {
        return state.commitIndex >= firstIndexOfTerm;
    }

    long append(EntryKind kind, Bytes payload) {
        LogEntry entry = LogEntry.after(state.log.last(), state.term, kind, payload);
        state.append(entry);
        return entry.index();
    }

    /**
     * Proposes a membership and returns its index. Returns empty if it does not differ by exactly one voter, if another
     * change is pending or if no entry of this term is committed yet.
     */
    OptionalLong proposeMembership(Membership next) {
        boolean changePending = state.log.membershipIndex() > state.commitIndex || !hasCommittedInTerm();
        if (changePending || !state.log.membership().differsByOneVoter(next)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(append(EntryKind.MEMBERSHIP, next.encode()));
    }

    void tick(long nowNanos) {
        if (nowNanos - nextHeartbeatNanos < 0) {
            return;
        }
        nextHeartbeatNanos = nowNanos + state.settings.timings().heartbeatNanos();
        addPeers();
        peers.forEach((name, progress) -> heartbeat(name, progress, nowNanos));
        promoteLearners(nowNanos);
    }

    /**
     * Returns whether this leader must step down because it has heard from no quorum for longer than the longest
     * election timeout.
     */
    boolean lostQuorum(long nowNanos) {
        long lastQuorumContactNanos = quorumAckedSentNanos(nowNanos).orElse(leaderSinceNanos);
        return nowNanos - lastQuorumContactNanos > state.settings.timings().electionMaxNanos();
    }

    /** Returns when the lease starts; empty if there is none. */
    OptionalLong leaseStartNanos(long nowNanos) {
        return hasCommittedInTerm() ? quorumAckedSentNanos(nowNanos) : OptionalLong.empty();
    }

    void onAppendReply(NodeName from, LogMessage.AppendReply reply, long nowNanos) {
        PeerProgress progress = peers.get(from);
        if (progress == null) {
            return;
        }
        progress.onReply(reply.incarnation(), reply.sentNanos(), state.log.lastIndex());
        if (reply.success()) {
            progress.onMatch(reply.index());
            progress.resendDeadlineNanos = resendDeadline(nowNanos);
            advanceCommit();
        } else {
            progress.onReject(reply.previousIndex(), reply.index());
            sendAppend(from, progress, nowNanos);
        }
    }

    void onSnapshotReply(NodeName from, LogMessage.SnapshotReply reply, long nowNanos) {
        PeerProgress progress = peers.get(from);
        if (progress == null) {
            return;
        }
        progress.onReply(reply.incarnation(), reply.sentNanos(), state.log.lastIndex());
        boolean current = progress.snapshotPosition
                .filter(position -> position.index() == reply.snapshotIndex())
                .isPresent();
        if (!current) {
            return;
        }
        if (reply.installed()) {
            progress.snapshotPosition = Optional.empty();
            progress.onMatch(reply.snapshotIndex());
            advanceCommit();
        } else if (reply.nextOffset() != progress.snapshotOffset) {
            progress.snapshotOffset = reply.nextOffset();
            sendChunk(from, progress, nowNanos);
        }
    }

    /** Sends the entries appended since the last call, batched into one message for each peer. */
    void sendNewEntries(long nowNanos) {
        advanceCommit();
        peers.forEach((name, progress) -> {
            boolean hasUnsentEntries = progress.nextIndex <= state.log.lastIndex();
            boolean withinWindow = progress.nextIndex - progress.matchIndex <= MAX_UNACKED_ENTRIES;
            if (hasUnsentEntries
                    && withinWindow
                    && progress.snapshotPosition.isEmpty()
                    && progress.incarnation.isPresent()) {
                sendAppend(name, progress, nowNanos);
            }
        });
    }

    /**
     * Returns the voter with the longest matching log among those that acknowledged a message sent within the last
     * lease duration.
     */
    Optional<Member> transferTarget(long nowNanos) {
        long oldestContactNanos = nowNanos - state.settings.timings().leaseNanos();
        return state.log.membership().incarnations().entrySet().stream()
                .map(voter -> new Member(voter.getKey(), voter.getValue()))
                .filter(voter -> progressOf(voter)
                        .filter(progress -> progress.hasAckedSince(oldestContactNanos))
                        .isPresent())
                .max(Comparator.comparingLong(this::matchIndexOf));
    }

    private void heartbeat(NodeName name, PeerProgress progress, long nowNanos) {
        if (progress.snapshotPosition.isPresent()) {
            sendChunk(name, progress, nowNanos);
            return;
        }
        boolean hasUnacked = progress.nextIndex > progress.matchIndex + 1;
        if (hasUnacked && nowNanos - progress.resendDeadlineNanos > 0 && progress.incarnation.isPresent()) {
            progress.nextIndex = progress.matchIndex + 1;
        }
        sendAppend(name, progress, nowNanos);
    }

    private void sendAppend(NodeName name, PeerProgress progress, long nowNanos) {
        Optional<Position> previous = state.log.positionAt(progress.nextIndex - 1);
        if (previous.isEmpty()) {
            startSnapshot(name, progress, nowNanos);
            return;
        }
        ImmutableList<LogEntry> entries = progress.incarnation.isEmpty()
                ? ImmutableList.of()
                : state.log.entriesFrom(progress.nextIndex, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES);
        boolean allAcked = progress.nextIndex == progress.matchIndex + 1;
        if (allAcked) {
            progress.resendDeadlineNanos = resendDeadline(nowNanos);
        }
        progress.nextIndex += entries.size();
        state.outputs.sendImmediately(
                name, new LogMessage.AppendRequest(state.term, previous.get(), entries, state.commitIndex, nowNanos));
    }

    private void startSnapshot(NodeName name, PeerProgress progress, long nowNanos) {
        progress.snapshotPosition = state.log.snapshot().map(Snapshot::position);
        progress.snapshotOffset = 0;
        sendChunk(name, progress, nowNanos);
    }

    private void sendChunk(NodeName name, PeerProgress progress, long nowNanos) {
        Snapshot snapshot = state.log.snapshot().orElseThrow();
        if (!progress.snapshotPosition.equals(Optional.of(snapshot.position()))) {
            progress.snapshotPosition = Optional.of(snapshot.position());
            progress.snapshotOffset = 0;
        }
        byte[] machineState = snapshot.state().array();
        int from = Math.toIntExact(Math.min(progress.snapshotOffset, machineState.length));
        int to = Math.min(machineState.length, from + MAX_CHUNK_BYTES);
        byte[] data = Arrays.copyOfRange(machineState, from, to);
        state.outputs.sendImmediately(
                name,
                new LogMessage.SnapshotChunk(
                        state.term,
                        snapshot.position(),
                        snapshot.membership(),
                        from,
                        machineState.length,
                        Bytes.wrap(data),
                        nowNanos));
    }

    private void advanceCommit() {
        Membership membership = state.log.membership();
        List<Long> matchIndexes = new ArrayList<>();
        membership
                .incarnations()
                .forEach((name, incarnation) -> matchIndexes.add(matchIndexOf(new Member(name, incarnation))));
        matchIndexes.sort(Comparator.reverseOrder());
        long index = matchIndexes.get(state.settings.voterPolicy().requiredCopies(membership) - 1);
        if (index > state.commitIndex && state.log.hasTermAt(index, state.term)) {
            state.commitUpTo(index);
        }
    }

    private long matchIndexOf(Member voter) {
        if (voter.equals(state.self)) {
            return state.durableIndex;
        }
        return progressOf(voter).map(progress -> progress.matchIndex).orElse(0L);
    }

    private OptionalLong quorumAckedSentNanos(long nowNanos) {
        Membership membership = state.log.membership();
        List<Long> agesNanos = new ArrayList<>();
        membership
                .incarnations()
                .forEach((name, incarnation) -> ackedSentNanosOf(new Member(name, incarnation), nowNanos)
                        .ifPresent(ackedSentNanos -> agesNanos.add(nowNanos - ackedSentNanos)));
        if (agesNanos.size() < membership.quorum()) {
            return OptionalLong.empty();
        }
        agesNanos.sort(Comparator.naturalOrder());
        return OptionalLong.of(nowNanos - agesNanos.get(membership.quorum() - 1));
    }

    private OptionalLong ackedSentNanosOf(Member voter, long nowNanos) {
        if (voter.equals(state.self)) {
            return OptionalLong.of(nowNanos);
        }
        return progressOf(voter).map(progress -> progress.ackedSentNanos).orElse(OptionalLong.empty());
    }

    private Optional<PeerProgress> progressOf(Member voter) {
        return Optional.ofNullable(peers.get(voter.name()))
                .filter(progress -> progress.incarnation.equals(OptionalLong.of(voter.incarnation())));
    }

    private void promoteLearners(long nowNanos) {
        long oldestContactNanos = nowNanos - state.settings.timings().leaseNanos();
        List<Member> caughtUp = new ArrayList<>();
        peers.forEach((name, progress) -> {
            if (progress.hasAckedSince(oldestContactNanos) && progress.matchIndex >= state.commitIndex) {
                caughtUp.add(new Member(name, progress.incarnation.getAsLong()));
            }
        });
        PromotionRule.next(state.log.membership(), caughtUp, silentVoters(nowNanos), state.settings.voterPolicy())
                .ifPresent(this::proposeMembership);
    }

    private List<NodeName> silentVoters(long nowNanos) {
        long silentNanos = state.settings.voterPolicy().replaceSilentAfterNanos();
        return state.log.membership().incarnations().entrySet().stream()
                .map(voter -> new Member(voter.getKey(), voter.getValue()))
                .filter(voter -> nowNanos - ackedSentNanosOf(voter, nowNanos).orElse(leaderSinceNanos) > silentNanos)
                .map(Member::name)
                .toList();
    }

    private long resendDeadline(long nowNanos) {
        return nowNanos + RESEND_AFTER_HEARTBEATS * state.settings.timings().heartbeatNanos();
    }
}

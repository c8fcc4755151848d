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
 * What a leader does in one term: replicates, commits, keeps its lease and admits voters.
 *
 * <p>Invariants: only entries of its own term are committed by counting; the lease runs from the send time of a round
 * that a quorum confirmed; one voter changes at a time. Not thread safe.
 */
final class Leading {
    private static final int MAX_ENTRIES = 1_024;
    private static final int MAX_BATCH_BYTES = 256 * 1024;
    private static final int MAX_CHUNK_BYTES = 256 * 1024;
    private static final int MAX_UNCONFIRMED_ENTRIES = 8_192;
    private static final int RESEND_HEARTBEATS = 5;

    private final CoreState state;
    private final Map<NodeName, PeerProgress> peers = new TreeMap<>();
    private final long sinceNanos;
    private final long firstIndex;
    private long nextHeartbeatNanos;

    Leading(CoreState state, long nowNanos) {
        this.state = state;
        this.sinceNanos = nowNanos;
        this.nextHeartbeatNanos = nowNanos;
        addPeers();
        this.firstIndex = append(EntryKind.NO_OP, Bytes.EMPTY);
    }

    private void addPeers() {
        addPeers(state.settings.configuredVoters());
        addPeers(state.log.membership().incarnations().keySet());
        addPeers(state.discovered);
    }

    private void addPeers(Collection<NodeName> names) {
        for (NodeName name : names) {
            if (!name.equals(state.self.name())) {
                peers.computeIfAbsent(name, unused -> new PeerProgress(state.log.lastIndex() + 1));
            }
        }
    }

    long sinceNanos() {
        return sinceNanos;
    }

    /** Returns whether an entry of this term is committed, so that the state here is complete. */
    boolean hasCommittedInTerm() {
        return state.commitIndex >= firstIndex;
    }

    long append(EntryKind kind, Bytes payload) {
        LogEntry entry = LogEntry.after(state.log.last(), state.term, kind, payload);
        state.append(entry);
        return entry.index();
    }

    /** Proposes a membership that differs by one voter; returns its index, or empty if another change is under way. */
    OptionalLong proposeMembership(Membership next) {
        boolean busy = state.log.membershipIndex() > state.commitIndex || !hasCommittedInTerm();
        if (busy || !state.log.membership().differsByOneVoter(next)) {
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
        readmit(nowNanos);
    }

    /** Returns whether no quorum answered for so long that this leader must step down. */
    boolean lostQuorum(long nowNanos) {
        long contactNanos = quorumConfirmedNanos(nowNanos).orElse(sinceNanos);
        return nowNanos - contactNanos > state.settings.timings().electionMaxNanos();
    }

    /** Returns when the lease ends on this leader's clock; empty if it has none. */
    OptionalLong leaseDeadlineNanos(long nowNanos) {
        if (!hasCommittedInTerm()) {
            return OptionalLong.empty();
        }
        OptionalLong confirmed = quorumConfirmedNanos(nowNanos);
        return confirmed.isEmpty()
                ? confirmed
                : OptionalLong.of(
                        confirmed.getAsLong() + state.settings.timings().leaseNanos());
    }

    void onAppendReply(NodeName from, LogMessage.AppendReply reply, long nowNanos) {
        PeerProgress progress = peers.get(from);
        if (progress == null) {
            return;
        }
        progress.answered(reply.incarnation(), reply.sentNanos(), state.log.lastIndex());
        if (reply.success()) {
            progress.matched(reply.index());
            progress.resendDeadlineNanos = resendDeadline(nowNanos);
            advanceCommit();
        } else {
            progress.rejected(reply.previousIndex(), reply.index());
            sendNext(from, progress, nowNanos);
        }
    }

    void onSnapshotReply(NodeName from, LogMessage.SnapshotReply reply, long nowNanos) {
        PeerProgress progress = peers.get(from);
        if (progress == null) {
            return;
        }
        progress.answered(reply.incarnation(), reply.sentNanos(), state.log.lastIndex());
        boolean current = progress.snapshot
                .filter(position -> position.index() == reply.snapshotIndex())
                .isPresent();
        if (!current) {
            return;
        }
        if (reply.installed()) {
            progress.snapshot = Optional.empty();
            progress.matched(reply.snapshotIndex());
            advanceCommit();
        } else if (reply.nextOffset() != progress.snapshotOffset) {
            progress.snapshotOffset = reply.nextOffset();
            sendChunk(from, progress, nowNanos);
        }
    }

    /** Sends what was appended since the last call; a batch of proposals goes out as one message for each peer. */
    void flush(long nowNanos) {
        advanceCommit();
        peers.forEach((name, progress) -> {
            boolean behind = progress.nextIndex <= state.log.lastIndex();
            boolean room = progress.nextIndex - progress.matchIndex <= MAX_UNCONFIRMED_ENTRIES;
            if (behind && room && progress.snapshot.isEmpty() && progress.incarnation.isPresent()) {
                sendNext(name, progress, nowNanos);
            }
        });
    }

    /** Returns the voter that holds most of the log and answered within the lease. */
    Optional<Member> successor(long nowNanos) {
        long oldestContactNanos = nowNanos - state.settings.timings().leaseNanos();
        return state.log.membership().incarnations().entrySet().stream()
                .map(voter -> new Member(voter.getKey(), voter.getValue()))
                .filter(voter -> progressOf(voter)
                        .filter(progress -> progress.confirmedSince(oldestContactNanos))
                        .isPresent())
                .max(Comparator.comparingLong(this::matchOf));
    }

    private void heartbeat(NodeName name, PeerProgress progress, long nowNanos) {
        if (progress.snapshot.isPresent()) {
            sendChunk(name, progress, nowNanos);
            return;
        }
        boolean unconfirmed = progress.nextIndex > progress.matchIndex + 1;
        if (unconfirmed && nowNanos - progress.resendDeadlineNanos > 0 && progress.incarnation.isPresent()) {
            progress.nextIndex = progress.matchIndex + 1;
        }
        sendNext(name, progress, nowNanos);
    }

    private void sendNext(NodeName name, PeerProgress progress, long nowNanos) {
        Optional<Position> previous = state.log.at(progress.nextIndex - 1);
        if (previous.isEmpty()) {
            startSnapshot(name, progress, nowNanos);
            return;
        }
        ImmutableList<LogEntry> entries = progress.incarnation.isEmpty()
                ? ImmutableList.of()
                : state.log.from(progress.nextIndex, MAX_ENTRIES, MAX_BATCH_BYTES);
        boolean nothingUnconfirmed = progress.nextIndex == progress.matchIndex + 1;
        if (nothingUnconfirmed) {
            progress.resendDeadlineNanos = resendDeadline(nowNanos);
        }
        progress.nextIndex += entries.size();
        state.outputs.sendImmediately(
                name, new LogMessage.AppendRequest(state.term, previous.get(), entries, state.commitIndex, nowNanos));
    }

    private void startSnapshot(NodeName name, PeerProgress progress, long nowNanos) {
        progress.snapshot = state.log.snapshot().map(Snapshot::position);
        progress.snapshotOffset = 0;
        sendChunk(name, progress, nowNanos);
    }

    private void sendChunk(NodeName name, PeerProgress progress, long nowNanos) {
        Snapshot snapshot = state.log.snapshot().orElseThrow();
        if (!progress.snapshot.equals(Optional.of(snapshot.position()))) {
            progress.snapshot = Optional.of(snapshot.position());
            progress.snapshotOffset = 0;
        }
        byte[] whole = snapshot.state().array();
        int from = Math.toIntExact(Math.min(progress.snapshotOffset, whole.length));
        int to = Math.min(whole.length, from + MAX_CHUNK_BYTES);
        byte[] data = Arrays.copyOfRange(whole, from, to);
        state.outputs.sendImmediately(
                name,
                new LogMessage.SnapshotChunk(
                        state.term,
                        snapshot.position(),
                        snapshot.membership(),
                        from,
                        whole.length,
                        Bytes.wrap(data),
                        nowNanos));
    }

    private void advanceCommit() {
        Membership membership = state.log.membership();
        List<Long> matches = new ArrayList<>();
        membership.incarnations().forEach((name, incarnation) -> matches.add(matchOf(new Member(name, incarnation))));
        matches.sort(Comparator.reverseOrder());
        long index = matches.get(state.settings.voterPolicy().copies(membership) - 1);
        if (index > state.commitIndex && state.log.hasTermAt(index, state.term)) {
            state.commitUpTo(index);
        }
    }

    private long matchOf(Member voter) {
        if (voter.equals(state.self)) {
            return state.durableIndex;
        }
        return progressOf(voter).map(progress -> progress.matchIndex).orElse(0L);
    }

    private OptionalLong quorumConfirmedNanos(long nowNanos) {
        Membership membership = state.log.membership();
        List<Long> agesNanos = new ArrayList<>();
        membership
                .incarnations()
                .forEach((name, incarnation) -> confirmedOf(new Member(name, incarnation), nowNanos)
                        .ifPresent(confirmedNanos -> agesNanos.add(nowNanos - confirmedNanos)));
        if (agesNanos.size() < membership.quorum()) {
            return OptionalLong.empty();
        }
        agesNanos.sort(Comparator.naturalOrder());
        return OptionalLong.of(nowNanos - agesNanos.get(membership.quorum() - 1));
    }

    private OptionalLong confirmedOf(Member voter, long nowNanos) {
        if (voter.equals(state.self)) {
            return OptionalLong.of(nowNanos);
        }
        return progressOf(voter).map(progress -> progress.confirmedSentNanos).orElse(OptionalLong.empty());
    }

    private Optional<PeerProgress> progressOf(Member voter) {
        return Optional.ofNullable(peers.get(voter.name()))
                .filter(progress -> progress.incarnation.equals(OptionalLong.of(voter.incarnation())));
    }

    private void readmit(long nowNanos) {
        long oldestContactNanos = nowNanos - state.settings.timings().leaseNanos();
        List<Member> caughtUp = new ArrayList<>();
        peers.forEach((name, progress) -> {
            if (progress.confirmedSince(oldestContactNanos) && progress.matchIndex >= state.commitIndex) {
                caughtUp.add(new Member(name, progress.incarnation.getAsLong()));
            }
        });
        ReadmissionRule.next(state.log.membership(), caughtUp, silentVoters(nowNanos), state.settings.voterPolicy())
                .ifPresent(this::proposeMembership);
    }

    private List<NodeName> silentVoters(long nowNanos) {
        long silentNanos = state.settings.voterPolicy().replaceSilentAfterNanos();
        return state.log.membership().incarnations().entrySet().stream()
                .map(voter -> new Member(voter.getKey(), voter.getValue()))
                .filter(voter -> nowNanos - confirmedOf(voter, nowNanos).orElse(sinceNanos) > silentNanos)
                .map(Member::name)
                .toList();
    }

    private long resendDeadline(long nowNanos) {
        return nowNanos + RESEND_HEARTBEATS * state.settings.timings().heartbeatNanos();
    }
}

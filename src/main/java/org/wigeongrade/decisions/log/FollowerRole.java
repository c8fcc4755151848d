package org.wigeongrade.decisions.log;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Handles the entries and snapshots that the leader of the current term sends.
 *
 * <p>Invariants: a committed entry is never dropped; the replica halts if its entry and the leader's have the same
 * index and term but different digests. Not thread safe.
 */
final class FollowerRole {
    private final CoreState state;
    private Optional<Position> incomingSnapshot = Optional.empty();
    private ByteArrayOutputStream receivedState = new ByteArrayOutputStream();

    FollowerRole(CoreState state) {
        this.state = state;
    }

    /** Handles an append request of the current term. */
    void onAppend(NodeName from, LogMessage.AppendRequest request) {
        Position previous = request.previous();
        if (previous.index() < state.log.base().index()) {
            reply(from, request, true, state.commitIndex);
            return;
        }
        Optional<Position> local = state.log.positionAt(previous.index());
        if (local.isEmpty()) {
            reply(from, request, false, state.log.lastIndex());
            return;
        }
        if (local.get().term() != previous.term()) {
            reply(from, request, false, lastIndexBeforeTerm(local.get()));
            return;
        }
        if (!local.get().digest().equals(previous.digest())) {
            state.halt(HaltReason.DIGEST_MISMATCH);
            return;
        }
        appendEntries(from, request);
    }

    private void appendEntries(NodeName from, LogMessage.AppendRequest request) {
        Digest digest = request.previous().digest();
        long index = request.previous().index();
        for (LogEntry entry : request.entries()) {
            boolean corrupt = entry.index() != index + 1 || !entry.follows(digest);
            if (corrupt || !reconcile(entry)) {
                return;
            }
            index = entry.index();
            digest = entry.digest();
        }
        state.commitUpTo(Math.min(request.commitIndex(), index));
        reply(from, request, true, index);
    }

    /**
     * Appends an entry unless it is present already. Replaces conflicting entries that are not committed. Returns false
     * if the replica halts instead.
     */
    private boolean reconcile(LogEntry entry) {
        Optional<Position> local = state.log.positionAt(entry.index());
        if (local.isEmpty()) {
            state.append(entry);
            return true;
        }
        if (local.get().term() == entry.term()) {
            return checkDigest(local.get(), entry);
        }
        if (entry.index() <= state.commitIndex) {
            state.halt(HaltReason.COMMITTED_CONFLICT);
            return false;
        }
        state.log.truncateFrom(entry.index());
        state.durableIndex = Math.min(state.durableIndex, entry.index() - 1);
        state.append(entry);
        return true;
    }

    /** Returns whether the digests of two entries with equal index and term are equal; halts the replica if not. */
    private boolean checkDigest(Position local, LogEntry entry) {
        if (local.digest().equals(entry.digest())) {
            return true;
        }
        state.halt(HaltReason.DIGEST_MISMATCH);
        return false;
    }

    private long lastIndexBeforeTerm(Position conflicting) {
        long index = conflicting.index();
        while (index > state.commitIndex && state.log.hasTermAt(index, conflicting.term())) {
            index--;
        }
        return index;
    }

    /** Handles a chunk of a snapshot, sent in the current term. */
    void onChunk(NodeName from, LogMessage.SnapshotChunk chunk) {
        Position position = chunk.position();
        if (position.index() <= state.commitIndex || state.log.hasTermAt(position.index(), position.term())) {
            replyChunk(from, chunk, chunk.totalBytes(), true);
            return;
        }
        boolean inProgress = incomingSnapshot.filter(position::equals).isPresent();
        if (!inProgress) {
            incomingSnapshot = Optional.of(position);
            receivedState = new ByteArrayOutputStream();
        }
        if (chunk.offset() == receivedState.size()) {
            receivedState.writeBytes(chunk.data().array());
        }
        boolean complete = receivedState.size() == chunk.totalBytes();
        long nextOffset = receivedState.size();
        if (complete) {
            install(chunk);
        }
        replyChunk(from, chunk, nextOffset, complete);
    }

    private void install(LogMessage.SnapshotChunk chunk) {
        Snapshot snapshot = new Snapshot(chunk.position(), chunk.membership(), Bytes.wrap(receivedState.toByteArray()));
        incomingSnapshot = Optional.empty();
        receivedState = new ByteArrayOutputStream();
        state.log.reset(snapshot);
        long index = snapshot.position().index();
        state.commitIndex = index;
        state.appliedIndex = index;
        state.durableIndex = index;
        state.outputs.install(snapshot);
    }

    private void reply(NodeName to, LogMessage.AppendRequest request, boolean success, long index) {
        state.send(
                to,
                new LogMessage.AppendReply(
                        state.term,
                        state.self.incarnation(),
                        success,
                        index,
                        request.previous().index(),
                        request.sentNanos()));
    }

    private void replyChunk(NodeName to, LogMessage.SnapshotChunk chunk, long nextOffset, boolean installed) {
        state.send(
                to,
                new LogMessage.SnapshotReply(
                        state.term,
                        state.self.incarnation(),
                        chunk.position().index(),
                        nextOffset,
                        installed,
                        chunk.sentNanos()));
    }
}

package org.wigeongrade.decisions.log;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Takes entries and snapshots from the leader of the current term.
 *
 * <p>Invariants: a committed entry is never dropped; an entry with the leader's index and term but another digest stops
 * the replica. Not thread safe.
 */
final class Following {
    private final CoreState state;
    private Optional<Position> incoming = Optional.empty();
    private ByteArrayOutputStream received = new ByteArrayOutputStream();

    Following(CoreState state) {
        this.state = state;
    }

    /** Takes an append whose term equals the current one. */
    void onAppend(NodeName from, LogMessage.AppendRequest request) {
        Position previous = request.previous();
        if (previous.index() < state.log.base().index()) {
            reply(from, request, true, state.commitIndex);
            return;
        }
        Optional<Position> own = state.log.at(previous.index());
        if (own.isEmpty()) {
            reply(from, request, false, state.log.lastIndex());
            return;
        }
        if (own.get().term() != previous.term()) {
            reply(from, request, false, indexBeforeTerm(own.get()));
            return;
        }
        if (!own.get().digest().equals(previous.digest())) {
            state.halt(HaltReason.DIGEST_MISMATCH);
            return;
        }
        takeEntries(from, request);
    }

    private void takeEntries(NodeName from, LogMessage.AppendRequest request) {
        Digest digest = request.previous().digest();
        long index = request.previous().index();
        for (LogEntry entry : request.entries()) {
            boolean damaged = entry.index() != index + 1 || !entry.follows(digest);
            if (damaged || !take(entry)) {
                return;
            }
            index = entry.index();
            digest = entry.digest();
        }
        state.commitUpTo(Math.min(request.commitIndex(), index));
        reply(from, request, true, index);
    }

    private boolean take(LogEntry entry) {
        Optional<Position> own = state.log.at(entry.index());
        if (own.isEmpty()) {
            state.append(entry);
            return true;
        }
        if (own.get().term() == entry.term()) {
            return sameDigest(own.get(), entry);
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

    private boolean sameDigest(Position own, LogEntry entry) {
        if (own.digest().equals(entry.digest())) {
            return true;
        }
        state.halt(HaltReason.DIGEST_MISMATCH);
        return false;
    }

    private long indexBeforeTerm(Position conflicting) {
        long index = conflicting.index();
        while (index > state.commitIndex && state.log.hasTermAt(index, conflicting.term())) {
            index--;
        }
        return index;
    }

    /** Takes a piece of a snapshot whose term equals the current one. */
    void onChunk(NodeName from, LogMessage.SnapshotChunk chunk) {
        Position position = chunk.position();
        if (position.index() <= state.commitIndex || state.log.hasTermAt(position.index(), position.term())) {
            replyChunk(from, chunk, chunk.totalBytes(), true);
            return;
        }
        boolean started = incoming.filter(position::equals).isPresent();
        if (!started) {
            incoming = Optional.of(position);
            received = new ByteArrayOutputStream();
        }
        if (chunk.offset() == received.size()) {
            received.writeBytes(chunk.data().array());
        }
        boolean whole = received.size() == chunk.totalBytes();
        long nextOffset = received.size();
        if (whole) {
            install(chunk);
        }
        replyChunk(from, chunk, nextOffset, whole);
    }

    private void install(LogMessage.SnapshotChunk chunk) {
        Snapshot snapshot = new Snapshot(chunk.position(), chunk.membership(), Bytes.wrap(received.toByteArray()));
        incoming = Optional.empty();
        received = new ByteArrayOutputStream();
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

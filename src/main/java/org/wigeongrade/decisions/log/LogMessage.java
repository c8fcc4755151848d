package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import org.wigeongrade.ids.NodeName;

/** What the control VMs say to one another about the log. Immutable; safe for use from any thread. */
public sealed interface LogMessage {
    /**
     * Asks for a vote, or with {@code preVote} whether a vote would be given.
     *
     * @param term the term that the candidate stands for
     * @param handedOver the leader of the term before gave up its lead and lease to this candidate
     * @param voterIncarnation the incarnation whose vote counts; any other must refuse
     */
    record VoteRequest(
            long term, boolean preVote, boolean handedOver, long voterIncarnation, long lastIndex, long lastTerm)
            implements LogMessage {}

    /** Tells a voter that the leader of this term gave up its lead and lease, and that it may stand at once. */
    record HandOver(long term, long incarnation) implements LogMessage {}

    /**
     * Answers a vote request.
     *
     * @param term the voter's own term
     * @param electionTerm the term that was asked for
     */
    record VoteReply(long term, long electionTerm, boolean preVote, boolean granted, long incarnation)
            implements LogMessage {}

    /**
     * Entries, or a heartbeat if there are none.
     *
     * @param sentNanos the leader's clock at the send; the reply repeats it
     */
    record AppendRequest(
            long term, Position previous, ImmutableList<LogEntry> entries, long commitIndex, long sentNanos)
            implements LogMessage {}

    /**
     * Answers an append.
     *
     * @param index if successful, the last index known to equal the leader's and durable; else where to try next
     * @param previousIndex repeats the request's previous index
     */
    record AppendReply(long term, long incarnation, boolean success, long index, long previousIndex, long sentNanos)
            implements LogMessage {}

    /** A piece of a snapshot, from {@code offset}; {@code totalBytes} is the size of the whole state. */
    record SnapshotChunk(
            long term,
            Position position,
            Membership membership,
            long offset,
            long totalBytes,
            Bytes data,
            long sentNanos)
            implements LogMessage {}

    /** Answers a piece: {@code nextOffset} is wanted next; the snapshot is installed once it equals the total. */
    record SnapshotReply(
            long term, long incarnation, long snapshotIndex, long nextOffset, boolean installed, long sentNanos)
            implements LogMessage {}

    /** Asks a configured voter whether its data folder is brand-new. */
    record EmptyProbe(long round, ImmutableSortedSet<NodeName> configuredVoters) implements LogMessage {}

    /** Answers a probe; {@code empty} only if the folder is brand-new and the configured voters are the same. */
    record EmptyProbeReply(long round, long incarnation, boolean empty) implements LogMessage {}
}

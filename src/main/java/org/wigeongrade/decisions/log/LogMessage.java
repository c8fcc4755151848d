package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import org.wigeongrade.ids.NodeName;

/** Message that the control VMs exchange to replicate the log. Immutable; safe for use from any thread. */
public sealed interface LogMessage {
    /**
     * Asks for a vote or, with {@code preVote}, whether a vote would be granted.
     *
     * @param term the term for which the candidate wants to be elected
     * @param leadershipTransferred whether the leader of the previous term gave up its leadership and lease in favour of this
     *     candidate
     * @param voterIncarnation the incarnation whose vote counts; a voter with any other incarnation must refuse
     */
    record VoteRequest(
            long term,
            boolean preVote,
            boolean leadershipTransferred,
            long voterIncarnation,
            long lastIndex,
            long lastTerm)
            implements LogMessage {}

    /**
     * Tells a voter that the leader of this term gave up its leadership and lease, and that the voter may start an
     * election at once.
     */
    record TransferLeadership(long term, long incarnation) implements LogMessage {}

    /**
     * Answers a vote request.
     *
     * @param term the voter's own term
     * @param electionTerm the term of the vote request
     */
    record VoteReply(long term, long electionTerm, boolean preVote, boolean granted, long incarnation)
            implements LogMessage {}

    /**
     * Sends entries; without entries it is a heartbeat.
     *
     * @param sentNanos the send time on the leader's clock; the reply echoes it
     */
    record AppendRequest(
            long term, Position previous, ImmutableList<LogEntry> entries, long commitIndex, long sentNanos)
            implements LogMessage {}

    /**
     * Answers an append request.
     *
     * @param index if successful, the last index up to which the log is durable and equal to the leader's; otherwise
     *     the previous index to try next
     * @param previousIndex the previous index of the request, echoed
     */
    record AppendReply(long term, long incarnation, boolean success, long index, long previousIndex, long sentNanos)
            implements LogMessage {}

    /**
     * Sends the chunk of a snapshot's state that starts at {@code offset}; {@code totalBytes} is the size of the whole
     * state.
     */
    record SnapshotChunk(
            long term,
            Position position,
            Membership membership,
            long offset,
            long totalBytes,
            Bytes data,
            long sentNanos)
            implements LogMessage {}

    /**
     * Answers a snapshot chunk. {@code nextOffset} is where the next chunk must start; the snapshot is installed once
     * it equals the total.
     */
    record SnapshotReply(
            long term, long incarnation, long snapshotIndex, long nextOffset, boolean installed, long sentNanos)
            implements LogMessage {}

    /** Asks a configured voter whether its data folder is new. */
    record EmptyProbe(long round, ImmutableSortedSet<NodeName> configuredVoters) implements LogMessage {}

    /**
     * Answers a probe; {@code empty} is true only if the folder is new and both nodes have the same configured voters.
     */
    record EmptyProbeReply(long round, long incarnation, boolean empty) implements LogMessage {}
}

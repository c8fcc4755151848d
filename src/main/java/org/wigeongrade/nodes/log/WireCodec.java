package org.wigeongrade.nodes.log;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.nio.ByteBuffer;
import java.util.List;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.log.Digest;
import org.wigeongrade.decisions.log.EntryKind;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.decisions.log.Membership;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.thrift.WireAppendReply;
import org.wigeongrade.nodes.log.thrift.WireAppendRequest;
import org.wigeongrade.nodes.log.thrift.WireEmptyProbe;
import org.wigeongrade.nodes.log.thrift.WireEmptyProbeReply;
import org.wigeongrade.nodes.log.thrift.WireEntry;
import org.wigeongrade.nodes.log.thrift.WireHandOver;
import org.wigeongrade.nodes.log.thrift.WireMessage;
import org.wigeongrade.nodes.log.thrift.WirePosition;
import org.wigeongrade.nodes.log.thrift.WireSnapshotChunk;
import org.wigeongrade.nodes.log.thrift.WireSnapshotReply;
import org.wigeongrade.nodes.log.thrift.WireVoteReply;
import org.wigeongrade.nodes.log.thrift.WireVoteRequest;

/** Converts log messages to and from their Thrift form. Stateless. */
final class WireCodec {
    private WireCodec() {}

    static WireMessage encode(LogMessage message) {
        if (message instanceof LogMessage.VoteRequest m) {
            return WireMessage.vote_request(new WireVoteRequest(
                    m.term(),
                    m.preVote(),
                    m.leadershipTransferred(),
                    m.voterIncarnation(),
                    m.lastIndex(),
                    m.lastTerm()));
        }
        if (message instanceof LogMessage.VoteReply m) {
            return WireMessage.vote_reply(
                    new WireVoteReply(m.term(), m.electionTerm(), m.preVote(), m.granted(), m.incarnation()));
        }
        if (message instanceof LogMessage.AppendRequest m) {
            return WireMessage.append_request(new WireAppendRequest(
                    m.term(), encode(m.previous()), encode(m.entries()), m.commitIndex(), m.sentNanos()));
        }
        if (message instanceof LogMessage.AppendReply m) {
            return WireMessage.append_reply(new WireAppendReply(
                    m.term(), m.incarnation(), m.success(), m.index(), m.previousIndex(), m.sentNanos()));
        }
        if (message instanceof LogMessage.SnapshotChunk m) {
            return WireMessage.snapshot_chunk(encode(m));
        }
        if (message instanceof LogMessage.SnapshotReply m) {
            return WireMessage.snapshot_reply(new WireSnapshotReply(
                    m.term(), m.incarnation(), m.snapshotIndex(), m.nextOffset(), m.installed(), m.sentNanos()));
        }
        if (message instanceof LogMessage.TransferLeadership m) {
            return WireMessage.hand_over(new WireHandOver(m.term(), m.incarnation()));
        }
        if (message instanceof LogMessage.EmptyProbe m) {
            List<String> voters =
                    m.configuredVoters().stream().map(NodeName::value).toList();
            return WireMessage.empty_probe(new WireEmptyProbe(m.round(), voters));
        }
        if (message instanceof LogMessage.EmptyProbeReply m) {
            return WireMessage.empty_probe_reply(new WireEmptyProbeReply(m.round(), m.incarnation(), m.empty()));
        }
        throw new IllegalArgumentException("message type " + message.getClass() + " has no Thrift form; add one");
    }

    /** Decodes a message; throws {@link IllegalArgumentException} if it is malformed. */
    static LogMessage decode(WireMessage wire) {
        return switch (wire.getSetField()) {
            case VOTE_REQUEST -> decode(wire.getVote_request());
            case VOTE_REPLY -> decode(wire.getVote_reply());
            case APPEND_REQUEST -> decode(wire.getAppend_request());
            case APPEND_REPLY -> decode(wire.getAppend_reply());
            case SNAPSHOT_CHUNK -> decode(wire.getSnapshot_chunk());
            case SNAPSHOT_REPLY -> decode(wire.getSnapshot_reply());
            case HAND_OVER ->
                new LogMessage.TransferLeadership(
                        wire.getHand_over().getTerm(), wire.getHand_over().getIncarnation());
            case EMPTY_PROBE -> decode(wire.getEmpty_probe());
            case EMPTY_PROBE_REPLY -> decode(wire.getEmpty_probe_reply());
        };
    }

    private static WireSnapshotChunk encode(LogMessage.SnapshotChunk chunk) {
        return new WireSnapshotChunk(
                chunk.term(),
                encode(chunk.position()),
                encode(chunk.membership().encode()),
                chunk.offset(),
                chunk.totalBytes(),
                encode(chunk.data()),
                chunk.sentNanos());
    }

    private static LogMessage decode(WireVoteRequest m) {
        return new LogMessage.VoteRequest(
                m.getTerm(),
                m.isPre_vote(),
                m.isHanded_over(),
                m.getVoter_incarnation(),
                m.getLast_index(),
                m.getLast_term());
    }

    private static LogMessage decode(WireVoteReply m) {
        return new LogMessage.VoteReply(
                m.getTerm(), m.getElection_term(), m.isPre_vote(), m.isGranted(), m.getIncarnation());
    }

    private static LogMessage decode(WireAppendRequest m) {
        ImmutableList<LogEntry> entries =
                m.getEntries().stream().map(WireCodec::decode).collect(ImmutableList.toImmutableList());
        return new LogMessage.AppendRequest(
                m.getTerm(), decode(m.getPrevious()), entries, m.getCommit_index(), m.getSent_nanos());
    }

    private static LogMessage decode(WireAppendReply m) {
        return new LogMessage.AppendReply(
                m.getTerm(), m.getIncarnation(), m.isSuccess(), m.getIndex(), m.getPrevious_index(), m.getSent_nanos());
    }

    private static LogMessage decode(WireSnapshotChunk m) {
        return new LogMessage.SnapshotChunk(
                m.getTerm(),
                decode(m.getPosition()),
                Membership.decode(Bytes.wrap(m.getMembership())),
                m.getOffset(),
                m.getTotal_bytes(),
                Bytes.wrap(m.getData()),
                m.getSent_nanos());
    }

    private static LogMessage decode(WireSnapshotReply m) {
        return new LogMessage.SnapshotReply(
                m.getTerm(),
                m.getIncarnation(),
                m.getSnapshot_index(),
                m.getNext_offset(),
                m.isInstalled(),
                m.getSent_nanos());
    }

    private static LogMessage decode(WireEmptyProbe m) {
        ImmutableSortedSet<NodeName> voters = m.getConfigured_voters().stream()
                .map(NodeName::of)
                .collect(ImmutableSortedSet.toImmutableSortedSet(NodeName::compareTo));
        return new LogMessage.EmptyProbe(m.getRound(), voters);
    }

    private static LogMessage decode(WireEmptyProbeReply m) {
        return new LogMessage.EmptyProbeReply(m.getRound(), m.getIncarnation(), m.isEmpty());
    }

    private static WirePosition encode(Position position) {
        Digest digest = position.digest();
        return new WirePosition(position.index(), position.term(), digest.high(), digest.low());
    }

    private static Position decode(WirePosition wire) {
        return new Position(wire.getIndex(), wire.getTerm(), new Digest(wire.getDigest_high(), wire.getDigest_low()));
    }

    private static List<WireEntry> encode(ImmutableList<LogEntry> entries) {
        return entries.stream().map(WireCodec::encode).toList();
    }

    private static WireEntry encode(LogEntry entry) {
        return new WireEntry(encode(entry.position()), entry.kind().code(), encode(entry.payload()));
    }

    private static LogEntry decode(WireEntry wire) {
        Position position = decode(wire.getPosition());
        Bytes payload = Bytes.wrap(wire.getPayload());
        return new LogEntry(
                position.index(), position.term(), EntryKind.of(wire.getKind()), payload, position.digest());
    }

    private static ByteBuffer encode(Bytes bytes) {
        return ByteBuffer.wrap(bytes.array());
    }
}

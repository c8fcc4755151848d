package org.wigeongrade.nodes.log;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.stream.Stream;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.log.Digest;
import org.wigeongrade.decisions.log.EntryKind;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.decisions.log.Membership;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.thrift.WireMessage;

final class WireCodecTest {
    private static final Position POSITION = new Position(1, 2, new Digest(3, 4));
    private static final Bytes DATA = Bytes.wrap(new byte[] {1, 2, 3});

    @ParameterizedTest
    @MethodSource("messages")
    void everyMessageIsEqualAfterEncodingAndDecoding(LogMessage message) throws TException {
        byte[] bytes = new TSerializer().serialize(WireCodec.encode(message));
        WireMessage read = new WireMessage();
        new TDeserializer().deserialize(read, bytes);
        assertThat(WireCodec.decode(read)).isEqualTo(message);
    }

    static Stream<LogMessage> messages() {
        Membership membership = Membership.of(ImmutableMap.of(NodeName.of("a"), -5L, NodeName.of("b"), 6L));
        LogEntry entry = LogEntry.after(POSITION, 7, EntryKind.COMMAND, DATA);
        return Stream.of(
                new LogMessage.VoteRequest(1, true, false, 2, 3, 4),
                new LogMessage.VoteRequest(1, false, true, 2, 3, 4),
                new LogMessage.VoteReply(1, 2, true, false, 3),
                new LogMessage.VoteReply(1, 2, false, true, 3),
                new LogMessage.AppendRequest(5, POSITION, ImmutableList.of(entry), 6, 7),
                new LogMessage.AppendRequest(5, POSITION, ImmutableList.of(), 6, 7),
                new LogMessage.AppendReply(1, 2, true, 3, 4, 5),
                new LogMessage.SnapshotChunk(1, POSITION, membership, 8, 9, DATA, 10),
                new LogMessage.SnapshotReply(1, 2, 3, 4, true, 5),
                new LogMessage.TransferLeadership(1, 2),
                new LogMessage.EmptyProbe(1, ImmutableSortedSet.of(NodeName.of("a"), NodeName.of("b"))),
                new LogMessage.EmptyProbeReply(1, 2, true));
    }
}

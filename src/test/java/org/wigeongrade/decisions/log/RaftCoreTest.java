package org.wigeongrade.decisions.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.NodeName;

/** Tests single responses of one replica that the random schedules cannot isolate. */
final class RaftCoreTest {
    private static final NodeName ONE = NodeName.of("control-1");
    private static final NodeName TWO = NodeName.of("control-2");
    private static final NodeName THREE = NodeName.of("control-3");
    private static final ImmutableSortedSet<NodeName> VOTERS = ImmutableSortedSet.of(ONE, TWO, THREE);
    private static final long INCARNATION = 11;
    private static final long AFTER_ELECTION_TIMEOUT_NANOS = 2_000_000_000L;

    @ParameterizedTest
    @CsvSource({
        "requested incarnation and silent leader,             11, 2000, false, true",
        "other incarnation and silent leader,                 12, 2000, false, false",
        "requested incarnation and recently heard leader,     11, 300,  false, false",
        "requested incarnation and transferred leadership,    11, 300,  true,  true",
        "other incarnation and transferred leadership,        12, 300,  true,  false",
    })
    void grantsVoteOnlyForItsIncarnationAndAfterTheLease(
            String description, long incarnation, long afterMs, boolean leadershipTransferred, boolean granted) {
        RaftCore core = core(TWO, RecoveredState.fresh(INCARNATION, true));
        core.receive(
                ONE,
                new LogMessage.VoteRequest(4, false, leadershipTransferred, incarnation, 5, 3),
                afterMs * 1_000_000);
        LogMessage.VoteReply reply = (LogMessage.VoteReply) onlyMessage(core);
        assertWithMessage(description).that(reply.granted()).isEqualTo(granted);
        assertThat(core.term()).isEqualTo(granted ? 4 : 0);
    }

    @ParameterizedTest
    @CsvSource({
        "control-1, true,  true,  true,  true",
        "control-1, true,  true,  false, false",
        "control-1, false, true,  true,  false",
        "control-2, true,  true,  true,  false",
    })
    void bootstrapsOnlyOnTheFirstVoterAndIfAllAreEmpty(
            String self, boolean mayBootstrap, boolean firstEmpty, boolean secondEmpty, boolean starts) {
        RaftCore core = core(NodeName.of(self), RecoveredState.fresh(INCARNATION, mayBootstrap));
        core.tick(0);
        List<NodeName> others =
                VOTERS.stream().filter(name -> !name.value().equals(self)).toList();
        core.receive(others.get(0), new LogMessage.EmptyProbeReply(1, 21, firstEmpty), 0);
        core.receive(others.get(1), new LogMessage.EmptyProbeReply(1, 31, secondEmpty), 0);
        assertThat(core.isVoter()).isEqualTo(starts);
    }

    @ParameterizedTest
    @CsvSource({
        "control-1 control-2 control-3, true, true",
        "control-1 control-2, true, false",
        "control-1 control-2 control-3, false, false"
    })
    void repliesEmptyOnlyForTheSameVotersAndAFolderThatWasNeverLost(
            String configured, boolean mayBootstrap, boolean empty) {
        ImmutableSortedSet<NodeName> voters = Splitter.on(' ')
                .splitToStream(configured)
                .map(NodeName::of)
                .collect(ImmutableSortedSet.toImmutableSortedSet(NodeName::compareTo));
        RaftCore core = core(TWO, RecoveredState.fresh(INCARNATION, mayBootstrap));
        core.receive(ONE, new LogMessage.EmptyProbe(1, voters), 0);
        assertThat(onlyMessage(core)).isEqualTo(new LogMessage.EmptyProbeReply(1, INCARNATION, empty));
    }

    @ParameterizedTest
    @CsvSource({"false, ''", "true, DIGEST_MISMATCH"})
    void differentDigestAtTheSamePositionHalts(boolean differs, String reason) {
        List<LogEntry> entries = entries(differs ? "other" : "same");
        RaftCore core = core(TWO, stored(entries("same")));
        Position previous = entries.get(1).position();
        core.receive(ONE, new LogMessage.AppendRequest(2, previous, ImmutableList.of(), 2, 0), 0);
        Optional<HaltReason> halt = core.drain(0).halt();
        assertThat(halt.map(HaltReason::name).orElse("")).isEqualTo(reason);
        core.receive(ONE, new LogMessage.AppendRequest(9, previous, ImmutableList.of(), 2, 0), 0);
        assertThat(core.drain(0).isEmpty()).isEqualTo(differs);
    }

    @Test
    void corruptEntryIsNotAppended() {
        List<LogEntry> entries = entries("same");
        LogEntry good = entries.get(0);
        LogEntry corrupt = new LogEntry(1, 2, good.kind(), Bytes.wrap(new byte[] {9}), good.digest());
        RaftCore core = core(TWO, RecoveredState.fresh(INCARNATION, true));
        core.receive(ONE, new LogMessage.AppendRequest(2, Position.START, ImmutableList.of(corrupt), 1, 0), 0);
        assertThat(core.last()).isEqualTo(Position.START);
    }

    @Test
    void learnerNeverStartsAnElection() {
        RaftCore core = core(THREE, stored(entries("same")));
        core.tick(AFTER_ELECTION_TIMEOUT_NANOS);
        assertThat(core.role()).isEqualTo(Role.FOLLOWER);
    }

    @ParameterizedTest
    @CsvSource({
        "9, 1=1 2=2 3=3, 3=9, '', 1=1 2=2",
        "9, 1=1 2=2, 3=9, '', 1=1 2=2 3=9",
        "9, 1=1 2=2 3=3, 3=3, '', ''",
        "3, 1=1 2=2 3=3, 4=4, '', ''",
        "3, 1=1 2=2 3=3, 4=4, control-2, 1=1 3=3",
        "3, 1=1 3=3, 4=4, '', 1=1 3=3 4=4",
        "3, 1=1 2=2 3=3, 1=1, control-2, ''",
        "3, 1=1 2=2 3=3, 3=9 4=4, control-2, 1=1 2=2",
    })
    void replacesAVoterInTwoChanges(int wantedVoters, String current, String caughtUp, String silent, String next) {
        Membership membership = membership(current);
        Optional<Membership> found = PromotionRule.next(
                membership,
                membership(caughtUp).incarnations().entrySet().stream()
                        .map(voter -> new Member(voter.getKey(), voter.getValue()))
                        .toList(),
                silent.isEmpty() ? ImmutableList.of() : ImmutableList.of(NodeName.of(silent)),
                new VoterPolicy(wantedVoters, 1, 1));
        assertThat(found)
                .isEqualTo(Optional.of(next).filter(text -> !text.isEmpty()).map(RaftCoreTest::membership));
    }

    private static Membership membership(String voters) {
        ImmutableMap.Builder<NodeName, Long> incarnations = ImmutableMap.builder();
        Splitter.on(' ')
                .withKeyValueSeparator('=')
                .split(voters)
                .forEach((node, incarnation) ->
                        incarnations.put(NodeName.of("control-" + node), Long.parseLong(incarnation)));
        return Membership.of(incarnations.buildOrThrow());
    }

    private static RecoveredState stored(List<LogEntry> entries) {
        return new RecoveredState(
                INCARNATION,
                true,
                new HardState(2, Optional.empty()),
                Optional.empty(),
                Position.START,
                ImmutableList.copyOf(entries));
    }

    private static List<LogEntry> entries(String payload) {
        List<LogEntry> entries = new ArrayList<>();
        Position previous = Position.START;
        for (int i = 0; i < 2; i++) {
            Bytes bytes = Bytes.wrap(payload.getBytes(StandardCharsets.US_ASCII));
            LogEntry entry = LogEntry.after(previous, 2, EntryKind.COMMAND, bytes);
            entries.add(entry);
            previous = entry.position();
        }
        return entries;
    }

    private static RaftCore core(NodeName self, RecoveredState recovered) {
        return new RaftCore(CoreSettings.configured(self, VOTERS, LogTimings.DEFAULT), recovered, new Random(1), 0);
    }

    private static LogMessage onlyMessage(RaftCore core) {
        List<Outputs.OutgoingMessage> sent = core.drain(0).afterPersist();
        assertThat(sent).hasSize(1);
        return sent.get(0).message();
    }
}

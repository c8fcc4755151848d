package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.RecordedGroup;
import org.wigeongrade.decisions.published.RecordedMember;

/**
 * Proposes to record the groups that a leader manages and to remove those that it saw end.
 *
 * <p>Invariant: a change is proposed again only after a pause, until the recorded groups show it. Not thread safe.
 */
final class GroupRecorder {
    private final Map<RecordedGroup.Key, Long> proposedNanos = new HashMap<>();

    /** Returns the changes to propose now. */
    ImmutableList<PublishedCommand> changes(
            ManagedGroups managed, Predicate<RecordedGroup> hasEnded, GroupLedger ledger, long nowNanos) {
        if (!ledger.isInForce()) {
            return ImmutableList.of();
        }
        final Map<RecordedGroup.Key, PublishedCommand> missing = Stream.concat(
                        managed.stream()
                                .filter(group -> group.mayServe() && !isRecorded(group, ledger))
                                .map(group -> toRecord(group, ledger))
                                .map(PublishedCommand.FormGroup::new),
                        ledger.groups().values().stream()
                                .filter(hasEnded)
                                .map(RecordedGroup::key)
                                .map(PublishedCommand.EndGroup::new))
                .collect(Collectors.toMap(GroupRecorder::keyOf, change -> change));
        proposedNanos.keySet().retainAll(missing.keySet());
        final ImmutableList<RecordedGroup.Key> due = Sets.filter(missing.keySet(), key -> isDue(key, nowNanos)).stream()
                .collect(ImmutableList.toImmutableList());
        due.forEach(key -> proposedNanos.put(key, nowNanos));
        return due.stream().map(missing::get).collect(ImmutableList.toImmutableList());
    }

    private static boolean isRecorded(ManagedGroup group, GroupLedger ledger) {
        return ledger.find(group.name, group.epoch)
                .filter(recorded -> recorded.opened() || !group.hasOpened())
                .isPresent();
    }

    private boolean isDue(RecordedGroup.Key key, long nowNanos) {
        final Long sinceNanos = proposedNanos.get(key);
        return sinceNanos == null || nowNanos - sinceNanos >= GroupTimings.RECORD_RESEND_NANOS;
    }

    private static RecordedGroup.Key keyOf(PublishedCommand change) {
        return change instanceof PublishedCommand.EndGroup end
                ? end.group()
                : ((PublishedCommand.FormGroup) change).group().key();
    }

    private static RecordedGroup toRecord(ManagedGroup group, GroupLedger ledger) {
        final RecordedGroup.Key key = ledger.key(group.name, group.epoch);
        return new RecordedGroup(
                key.service(),
                key.name(),
                key.epoch(),
                group.model.name(),
                group.members.stream()
                        .map(member -> RecordedMember.of(member.vm, member.address, member.domain))
                        .toList(),
                group.hasOpened());
    }
}

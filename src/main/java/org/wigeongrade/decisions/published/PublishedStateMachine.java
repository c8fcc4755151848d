package org.wigeongrade.decisions.published;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.wigeongrade.decisions.discovery.VmWithdrawal;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.ids.AvailabilityZone;

/**
 * Applies published commands in the order of the replicated log.
 *
 * <p>Invariant: the state depends only on the commands applied so far. Commands are applied by one thread at a time;
 * {@link #state} may be read from any thread.
 */
public final class PublishedStateMachine {
    /** Builds that support only an earlier {@link CommandFormat} read this too, so fields of later formats are absent. */
    private record SnapshotContent(
            long version,
            Bytes document,
            List<AvailabilityZone> zonesOut,
            @JsonInclude(JsonInclude.Include.NON_NULL) Integer format,
            @JsonInclude(JsonInclude.Include.NON_NULL) List<VmWithdrawal> withdrawals,
            @JsonInclude(JsonInclude.Include.NON_NULL) List<RecordedGroup> groups) {}

    private volatile PublishedState state = PublishedState.EMPTY;

    /** Returns the state after the last applied command. */
    public PublishedState state() {
        return state;
    }

    /** Applies a command and returns its encoded result, see {@link #decodeOutcome}. */
    public byte[] apply(byte[] command) {
        final PublishedCommand decoded = PublishedCommand.decode(command);
        if (decoded instanceof PublishedCommand.Publish publish) {
            final PublishOutcome outcome =
                    state.outcomeOf(publish.version(), publish.document().array());
            state = state.publish(publish.version(), publish.document().array());
            return encode(outcome);
        }
        if (decoded instanceof PublishedCommand.SetZone setZone) {
            state = state.withZone(setZone.zone(), setZone.out());
        } else if (decoded instanceof PublishedCommand.UseFormat useFormat) {
            state = state.withFormat(useFormat.format());
        } else if (decoded instanceof PublishedCommand.Withdraw withdraw) {
            state = state.withWithdrawal(withdraw.withdrawal());
        } else if (decoded instanceof PublishedCommand.FormGroup form) {
            state = state.withGroups(state.groups().with(form.group()));
        } else if (decoded instanceof PublishedCommand.EndGroup end) {
            state = state.withGroups(state.groups().without(end.group()));
        }
        return encode(PublishOutcome.IN_FORCE);
    }

    /** Decodes the result of {@link #apply}. */
    public static PublishOutcome decodeOutcome(byte[] result) {
        return PublishOutcome.valueOf(new String(result, StandardCharsets.US_ASCII));
    }

    /** Returns the encoded state. */
    public byte[] snapshot() {
        final PublishedState taken = state;
        final boolean baseFormat = taken.format() == CommandFormat.BASE;
        try {
            return PublishedCommand.Codec.MAPPER.writeValueAsBytes(new SnapshotContent(
                    taken.version(),
                    taken.document().map(Bytes::wrap).orElse(Bytes.EMPTY),
                    ImmutableList.copyOf(taken.zonesOut()),
                    baseFormat ? null : taken.format(),
                    baseFormat ? null : taken.withdrawals().asList(),
                    taken.format() < CommandFormat.GROUPS
                            ? null
                            : taken.groups().all().asList()));
        } catch (IOException e) {
            throw new UncheckedIOException("published state cannot be encoded as JSON", e);
        }
    }

    /** Replaces the state by the one encoded in the snapshot. */
    public void restore(byte[] snapshot) {
        try {
            final SnapshotContent stored = PublishedCommand.Codec.MAPPER.readValue(snapshot, SnapshotContent.class);
            state = PublishedState.of(
                    stored.version(),
                    stored.document().array(),
                    stored.zonesOut(),
                    Objects.requireNonNullElse(stored.format(), CommandFormat.BASE),
                    Objects.requireNonNullElse(stored.withdrawals(), ImmutableList.of()),
                    Objects.requireNonNullElse(stored.groups(), ImmutableList.of()));
        } catch (IOException e) {
            throw new UncheckedIOException("published state in the snapshot cannot be decoded", e);
        }
    }

    private static byte[] encode(PublishOutcome outcome) {
        return outcome.name().getBytes(StandardCharsets.US_ASCII);
    }
}

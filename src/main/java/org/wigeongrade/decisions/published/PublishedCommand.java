package org.wigeongrade.decisions.published;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.wigeongrade.decisions.discovery.VmWithdrawal;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.ids.AvailabilityZone;

/** A change of {@link PublishedState} as the replicated log carries it. Immutable; safe for use from any thread. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PublishedCommand.Publish.class, name = "publish"),
    @JsonSubTypes.Type(value = PublishedCommand.SetZone.class, name = "set_zone"),
    @JsonSubTypes.Type(value = PublishedCommand.UseFormat.class, name = "use_format"),
    @JsonSubTypes.Type(value = PublishedCommand.Withdraw.class, name = "withdraw"),
    @JsonSubTypes.Type(value = PublishedCommand.FormGroup.class, name = "form_group"),
    @JsonSubTypes.Type(value = PublishedCommand.EndGroup.class, name = "end_group")
})
public sealed interface PublishedCommand {
    /** Publishes a document, which must have been checked before. */
    record Publish(long version, Bytes document) implements PublishedCommand {}

    /** Takes an availability zone out of service or brings it back. */
    record SetZone(AvailabilityZone zone, boolean out) implements PublishedCommand {}

    /** Allows the commands of a format from here on. It must only be proposed if every control VM can apply them. */
    record UseFormat(int format) implements PublishedCommand {}

    /** Takes a VM that leaves out of use; needs {@link CommandFormat#WITHDRAWALS}. */
    record Withdraw(VmWithdrawal withdrawal) implements PublishedCommand {}

    /** Records a group before its head is ordered to serve; needs {@link CommandFormat#GROUPS}. */
    record FormGroup(RecordedGroup group) implements PublishedCommand {}

    /** Removes a group whose head has stopped; needs {@link CommandFormat#GROUPS}. */
    record EndGroup(RecordedGroup.Key group) implements PublishedCommand {}

    /** Returns the command as JSON. */
    default byte[] encode() {
        try {
            return Codec.MAPPER.writerFor(PublishedCommand.class).writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("published command cannot be encoded as JSON", e);
        }
    }

    /** Decodes the result of {@link #encode}. */
    static PublishedCommand decode(byte[] bytes) {
        try {
            return Codec.MAPPER.readValue(bytes, PublishedCommand.class);
        } catch (IOException e) {
            throw new UncheckedIOException("published command in the log cannot be decoded", e);
        }
    }

    /** Holds the JSON mapper, which is safe for use from any thread. */
    final class Codec {
        static final ObjectMapper MAPPER = new ObjectMapper();

        private Codec() {}
    }
}

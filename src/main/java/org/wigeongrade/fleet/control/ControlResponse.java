package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.log.Bytes;

/** Response of a control node to an operator or an endpoint VM. Immutable; safe for use from any thread. */
public sealed interface ControlResponse {
    /** The request was accepted; a change by an operator is durable. */
    record Accepted() implements ControlResponse {}

    /** The heartbeat was accepted; the VM may send later ones directly to {@code leader}, if another node leads. */
    record HeartbeatAccepted(Optional<InetSocketAddress> leader) implements ControlResponse {}

    /** The newest configuration document, exactly as it was published. */
    record Document(Bytes document) implements ControlResponse {}

    /** No configuration has been published yet. */
    record NotPublished() implements ControlResponse {}

    /** The request is invalid, and repeating it unchanged cannot succeed; lists every error. */
    record Invalid(List<String> errors) implements ControlResponse {
        public Invalid {
            errors = ImmutableList.copyOf(errors);
        }
    }

    /** The published version is the version in force, but its content differs. */
    record Conflict(String message) implements ControlResponse {}

    /** Only the leader, at this address, can handle the request. */
    record RedirectToLeader(InetSocketAddress leader) implements ControlResponse {}

    /** The request cannot be answered now; it may or may not have taken effect. */
    record Unavailable(String message) implements ControlResponse {}
}

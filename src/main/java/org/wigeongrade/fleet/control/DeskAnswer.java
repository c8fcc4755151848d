package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.log.Bytes;

/** What a control node answers to an operator or an endpoint VM. Immutable; safe for use from any thread. */
public sealed interface DeskAnswer {
    /** Taken up; of what an operator asked for, durable. */
    record Accepted() implements DeskAnswer {}

    /** A heartbeat was taken up; later ones may go to the leader's address. */
    record Heard(Optional<InetSocketAddress> leader) implements DeskAnswer {}

    /** The newest configuration as it was published. */
    record Document(Bytes document) implements DeskAnswer {}

    /** Nothing was published yet. */
    record Nothing() implements DeskAnswer {}

    /** Never acceptable, with every fault. */
    record Invalid(List<String> faults) implements DeskAnswer {
        public Invalid {
            faults = ImmutableList.copyOf(faults);
        }
    }

    /** The version in force has another content. */
    record Conflict(String message) implements DeskAnswer {}

    /** The leader at this address can answer. */
    record Elsewhere(InetSocketAddress leader) implements DeskAnswer {}

    /** Cannot be answered now; nothing is said about whether it took effect. */
    record Unavailable(String message) implements DeskAnswer {}
}

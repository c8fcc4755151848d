package org.wigeongrade.decisions.log;

import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * The current term and the vote granted in it.
 *
 * <p>Invariant: a new value is durable before any message that depends on it is sent. Immutable; safe for use from any
 * thread.
 */
public record HardState(long term, Optional<NodeName> votedFor) {
    /** The state of a new data folder. */
    public static final HardState INITIAL = new HardState(0, Optional.empty());
}

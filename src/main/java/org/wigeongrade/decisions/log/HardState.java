package org.wigeongrade.decisions.log;

import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * The term and the vote given in it.
 *
 * <p>Invariant: durable before any message that follows from it is sent. Immutable; safe for use from any thread.
 */
public record HardState(long term, Optional<NodeName> votedFor) {
    /** The state of a folder that never took part. */
    public static final HardState INITIAL = new HardState(0, Optional.empty());
}

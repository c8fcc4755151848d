package org.wigeongrade.standin;

import java.util.List;
import org.wigeongrade.ids.FencingToken;

/** An order of the control leader to an engine VM in the endpoint protocol. Immutable; safe for use from any thread. */
record EngineOrder(
        String order,
        String group,
        List<String> members,
        String modelVersion,
        String weights,
        long term,
        long sequence) {
    EngineOrder {
        members = members == null ? List.of() : List.copyOf(members);
    }

    boolean isJoin() {
        return "join".equals(order);
    }

    FencingToken fencingToken() {
        return new FencingToken(term, sequence);
    }
}

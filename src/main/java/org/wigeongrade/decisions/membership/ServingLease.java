package org.wigeongrade.decisions.membership;

import java.util.Optional;
import java.util.OptionalLong;
import org.wigeongrade.ids.VmName;

/** Whether a group may serve, and until when. Immutable; safe for use from any thread. */
public sealed interface ServingLease {
    /**
     * Returns when the lease ends, in nanoseconds on the monotonic clock of the announcement table; empty if serving is
     * refused.
     */
    OptionalLong deadlineNanos();

    /**
     * The group may serve until {@code untilNanos}, since every member announces that it serves; {@code cold} is true
     * if any member is cold.
     */
    record Serving(long untilNanos, boolean cold) implements ServingLease {
        @Override
        public OptionalLong deadlineNanos() {
            return OptionalLong.of(untilNanos);
        }
    }

    /**
     * The group may not serve, because of {@code member} or, if that is empty, for a reason that concerns the whole
     * group.
     */
    record Refused(NotServingReason reason, Optional<VmName> member) implements ServingLease {
        @Override
        public OptionalLong deadlineNanos() {
            return OptionalLong.empty();
        }

        /** Returns the reason as a sentence. */
        public String message() {
            return member.map(vm -> "VM '" + vm + "' ").orElse("the group ") + reason.text();
        }
    }
}

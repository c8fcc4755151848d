package org.wigeongrade.decisions.membership;

import java.util.Optional;
import java.util.OptionalLong;
import org.wigeongrade.ids.VmName;

/** Whether a group may serve, and until when. Immutable; safe for use from any thread. */
public sealed interface ServingLease {
    /** Returns when the lease ends on the monotonic clock of the table, in nanoseconds; empty if it does not serve. */
    OptionalLong deadlineNanos();

    /** Every member is there and serves until {@code untilNanos}; {@code cold} if any member is cold. */
    record Serving(long untilNanos, boolean cold) implements ServingLease {
        @Override
        public OptionalLong deadlineNanos() {
            return OptionalLong.of(untilNanos);
        }
    }

    /** The group may not serve, because of one member or, without one, because of the whole group. */
    record Refused(NotServing reason, Optional<VmName> member) implements ServingLease {
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

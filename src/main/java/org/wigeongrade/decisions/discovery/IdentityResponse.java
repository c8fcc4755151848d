package org.wigeongrade.decisions.discovery;

import java.util.OptionalLong;
import org.wigeongrade.ids.VmIncarnation;

/**
 * What the process at an address responded when it was asked whether it is a certain VM. Immutable; safe for use from any
 * thread.
 *
 * @param incarnation the start that the process stated; empty if it did not
 * @param acceptedOrders number of orders that the process stated it accepted; empty if it did not
 * @param staying whether it responded that it is healthy, which a VM that leaves does not
 */
public record IdentityResponse(Kind kind, OptionalLong incarnation, OptionalLong acceptedOrders, boolean staying) {
    /** Which VM the response is from. */
    public enum Kind {
        /** The VM that was asked for, or a process that states its start but not its name. */
        NAMED,
        /** Another VM. */
        OTHER_VM,
        /** Nobody responded, or the response does not show who did. */
        NONE
    }

    public static final IdentityResponse OTHER_VM =
            new IdentityResponse(Kind.OTHER_VM, OptionalLong.empty(), OptionalLong.empty(), false);
    public static final IdentityResponse NONE =
            new IdentityResponse(Kind.NONE, OptionalLong.empty(), OptionalLong.empty(), false);

    /** Returns the report of an engine, with its start in milliseconds since 1970 and its orders, as far as it states them. */
    public static IdentityResponse engine(OptionalLong incarnation, OptionalLong acceptedOrders) {
        return new IdentityResponse(Kind.NAMED, incarnation, acceptedOrders, false);
    }

    /** Returns the response of the VM that was asked for to a health check. */
    public static IdentityResponse health(boolean staying) {
        return new IdentityResponse(Kind.NAMED, OptionalLong.empty(), OptionalLong.empty(), staying);
    }

    /** Returns whether the process stated that it is this incarnation. */
    boolean states(VmIncarnation vm) {
        return incarnation.isPresent() && incarnation.getAsLong() == vm.incarnation();
    }

    /** Returns whether the process is certainly not this incarnation. */
    public boolean excludes(VmIncarnation vm) {
        return kind == Kind.OTHER_VM || (incarnation.isPresent() && !states(vm));
    }

    /** Returns whether the process states that it has accepted no order yet, so that it never was in a group. */
    boolean statesNoOrders() {
        return acceptedOrders.isPresent() && acceptedOrders.getAsLong() == 0;
    }

    /** Returns whether the process may be this incarnation, as far as the response shows. */
    public boolean isFrom(VmIncarnation vm) {
        return kind == Kind.NAMED && !excludes(vm);
    }

    /** Returns whether the response shows that this incarnation goes on: it stated its start, or that it is healthy. */
    public boolean shows(VmIncarnation vm) {
        return isFrom(vm) && (staying || incarnation.isPresent());
    }
}

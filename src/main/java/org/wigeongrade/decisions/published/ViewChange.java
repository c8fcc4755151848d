package org.wigeongrade.decisions.published;

import org.wigeongrade.ids.AvailabilityZone;

/** A published change that entry nodes put in force. Immutable; safe for use from any thread. */
public sealed interface ViewChange {
    /** Returns whether a node with the view has put the change, or a later one of its kind, in force. */
    boolean isInForce(ConfirmedView view);

    /** A configuration with at least this version. */
    record Configuration(long version) implements ViewChange {
        @Override
        public boolean isInForce(ConfirmedView view) {
            return view.version() >= version;
        }

        @Override
        public String toString() {
            return "configuration version " + version;
        }
    }

    /** An availability zone that is out of service or back. */
    record ZoneState(AvailabilityZone zone, boolean out) implements ViewChange {
        @Override
        public boolean isInForce(ConfirmedView view) {
            return view.zonesOut().map(zones -> zones.contains(zone) == out).orElse(true);
        }

        @Override
        public String toString() {
            return "availability zone " + zone + (out ? " out" : " in");
        }
    }
}

package org.wigeongrade.decisions.published;

/** What may be done with a request of a route. Immutable; safe for use from any thread. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return true;
        }
    },
    /** Runs at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return false;
        }
    },
    /** Answered by a series of events; runs at most once unless the route's streams may be resumed. */
    STREAMING {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean streams() {
            return true;
        }
    };

    /** Returns whether a request that may have run may be sent once more. */
    public abstract boolean mayRepeat(boolean resumable);

    /** Returns whether the answer is a series of events. */
    public boolean streams() {
        return false;
    }
}

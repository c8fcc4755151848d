package org.wigeongrade.decisions.published;

/** Whether and how the requests of a route may be repeated. Immutable; safe for use from any thread. */
public enum RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean mayRetry(boolean resumable) {
            return true;
        }
    },
    /** A request runs at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRetry(boolean resumable) {
            return false;
        }
    },
    /** The response is a stream of events; a request runs at most once unless the route's streams are resumable. */
    STREAMING {
        @Override
        public boolean mayRetry(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean streams() {
            return true;
        }
    };

    /** Returns whether a request that may have run may be retried. */
    public abstract boolean mayRetry(boolean resumable);

    /** Returns whether the response is a stream of events. */
    public boolean streams() {
        return false;
    }
}

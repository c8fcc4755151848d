package org.wigeongrade.fleet.entry;

import java.util.Optional;
import org.wigeongrade.ids.VmIncarnation;

/** One attempt of an exchange, at an endpoint or at another entry node. Used on the event loop only. */
interface Attempt {
    /** Ends the attempt without reporting to the exchange. */
    void cancel();

    /** Returns whether the request was written, so that a replica may run it even after the attempt was cancelled. */
    boolean isSent();

    /**
     * Stops looking for another endpoint because of silence, while one is being tried; what arrives is still reported.
     */
    void suspendSilenceCheck();

    /** Looks for another endpoint again once this one has been silent for long enough from now on. */
    void resumeSilenceCheck();

    /** Pauses or resumes reading the response. */
    void setReading(boolean enabled);

    /** Returns the endpoint that the request was sent to; empty if another entry node chooses it. */
    Optional<VmIncarnation> endpointVm();

    /** Returns for the log where the request was sent. */
    String target();

    /** Describes for the log how far the request got and for how long nothing has arrived. */
    String describe();
}

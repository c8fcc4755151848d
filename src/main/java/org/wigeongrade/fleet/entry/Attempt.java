package org.wigeongrade.fleet.entry;

/** One attempt of an exchange, at an endpoint or at another entry node. Used on the event loop only. */
interface Attempt {
    /** Ends the attempt without reporting to the exchange. */
    void cancel();

    /** Pauses or resumes reading the response. */
    void setReading(boolean enabled);

    /** Returns for the log where the request was sent. */
    String target();

    /** Describes for the log how far the request got and for how long nothing has arrived. */
    String describe();
}

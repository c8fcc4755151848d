package org.wigeongrade.metrics;

import java.util.Locale;

/** The closed list of reasons for sending a request again. Immutable; safe for use from any thread. */
public enum RetryReason {
    CONNECT_FAILED("no connection to the endpoint could be opened"),
    ENDPOINT_REFUSED("the endpoint refused the request before running it"),
    ENDPOINT_FAILED("the endpoint failed and the request is idempotent"),
    ANSWER_CUT_SHORT("the answer ended before it was whole and the request is idempotent"),
    ANSWER_MISMATCHED("the answer belonged to another request and the request is idempotent"),
    STREAM_STALLED("the stream was silent past its deadline and was resumed elsewhere"),
    STREAM_CUT_SHORT("the stream ended before it was whole and was resumed elsewhere"),
    GROUP_LOST("the group stopped serving and the generation was resumed elsewhere");

    private final String meaning;

    RetryReason(String meaning) {
        this.meaning = meaning;
    }

    /** Returns the reason as it stands in the counter's label. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason as a phrase for the docs. */
    public String meaning() {
        return meaning;
    }
}

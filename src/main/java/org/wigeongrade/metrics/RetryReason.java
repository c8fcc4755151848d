package org.wigeongrade.metrics;

import java.util.Locale;

/** The closed list of reasons for retrying a request. Immutable; safe for use from any thread. */
public enum RetryReason {
    CONNECT_FAILED("no connection to the endpoint could be opened"),
    RELAY_REFUSED("the entry VM that the request was relayed to reaches no endpoint either"),
    ENDPOINT_REFUSED("the endpoint refused the request before running it"),
    ENDPOINT_FAILED("the endpoint failed and the request is idempotent"),
    ANSWER_CUT_SHORT("the response ended before it was complete and the request is idempotent"),
    ANSWER_MISMATCHED("the response belonged to another request and the request is idempotent"),
    STREAM_STALLED("the stream sent nothing until its stall deadline and was resumed elsewhere"),
    STREAM_CUT_SHORT("the stream ended before it was complete and was resumed elsewhere"),
    GROUP_LOST("the group stopped serving and the generation was resumed elsewhere");

    private final String meaning;

    RetryReason(String meaning) {
        this.meaning = meaning;
    }

    /** Returns the value of the metric label for the reason. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the description of the reason for the docs. */
    public String meaning() {
        return meaning;
    }
}

package org.wigeongrade.platform;

/** Names of the platform's HTTP headers. Stateless. */
final class WireHeaders {
    /** Id that the client chooses for each attempt and endpoints echo. */
    static final String ATTEMPT_ID = "x-attempt-id";

    /** How long the sender will still wait, in milliseconds. */
    static final String DEADLINE_MS = "x-deadline-ms";

    /** API key of an organisation; never forwarded. */
    static final String API_KEY = "x-credential";

    /** Organisation that owns the API key; set only by this system. */
    static final String ORGANISATION = "x-tenant";

    /** The only VM that may run the request. */
    static final String EXPECTED_VM = "x-expect-instance";

    /** The VM that responds to a health check. */
    static final String VM = "x-instance-id";

    /** Signature of an endpoint's response. */
    static final String SIGNATURE = "x-server-seal";

    /** Present if the endpoint did not run the request. */
    static final String NOT_RUN = "x-not-executed";

    /** VM that an endpoint names as the cause of its refusal. */
    static final String FAULTY_VM = "at-server";

    /** Present with the value 1 if the endpoint is about to leave. */
    static final String LEAVING = "server-leaving";

    /** Requests a second, as a decimal number, that an endpoint takes from all nodes together while it sends this. */
    static final String REQUESTS_PER_SECOND = "server-limit";

    static final String MODEL = "x-model";

    /** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
    static final String TOKENS = "x-token-count";

    /** Parts of the prompt in order, as a list of {@code id:tokens}; the last one is the request's own. */
    static final String PROMPT_PARTS = "x-prompt-prefix";

    /** Estimated number of output tokens. */
    static final String OUTPUT_TOKEN_ESTIMATE = "x-length-hint";

    /** Order in which an endpoint admits waiting requests, from 0, first, to 9. */
    static final String URGENCY = "x-request-urgency";

    /** Id of the last stream event that the client received. */
    static final String LAST_EVENT_ID = "last-event-id";

    private WireHeaders() {}
}

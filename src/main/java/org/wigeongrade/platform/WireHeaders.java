package org.wigeongrade.platform;

/** Names of the platform's headers. Stateless. */
final class WireHeaders {
    /** Id that a client gives each of its attempts; echoed by endpoints. */
    static final String ATTEMPT_ID = "x-attempt-id";

    /** Remaining time that the sender waits, in milliseconds. */
    static final String DEADLINE_MS = "x-deadline-ms";

    /** Key of an organisation; never passed on. */
    static final String KEY = "x-credential";

    /** Organisation that holds the key; set by this system only. */
    static final String ORGANISATION = "x-tenant";

    /** VM that alone may run the request. */
    static final String EXPECTED_VM = "x-expect-instance";

    /** Signature of an endpoint's answer. */
    static final String SIGNATURE = "x-server-seal";

    /** Present if the endpoint did not run the request. */
    static final String NOT_RUN = "x-not-executed";

    /** VM that a refusal blames. */
    static final String FAULTY_VM = "at-server";

    static final String MODEL = "x-model";

    /** Prompt tokens and largest number of answer tokens, separated by a comma. */
    static final String TOKENS = "x-token-count";

    /** Estimate of the answer's tokens. */
    static final String ANSWER_ESTIMATE = "x-length-hint";

    /** Last event of a stream that the client has. */
    static final String LAST_EVENT_ID = "last-event-id";

    private WireHeaders() {}
}

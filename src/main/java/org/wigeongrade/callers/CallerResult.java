package org.wigeongrade.callers;

import com.google.common.collect.ImmutableListMultimap;
import org.wigeongrade.errors.WigeongradeException;

/** The response to a caller. Header names are in lower case. Immutable, except for the body stream. */
sealed interface CallerResult {
    /** A complete response of an endpoint. Do not change {@code body}. */
    @SuppressWarnings("ArrayRecordComponent")
    record Buffered(int status, ImmutableListMultimap<String, String> headers, byte[] body) implements CallerResult {}

    /** The status and headers of a response whose body is streamed. */
    record Streamed(int status, ImmutableListMultimap<String, String> headers, ResponseBodyStream body)
            implements CallerResult {}

    /** An error response, because the request was refused or failed. */
    record Failed(WigeongradeException failure) implements CallerResult {}
}

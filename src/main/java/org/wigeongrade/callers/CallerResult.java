package org.wigeongrade.callers;

import com.google.common.collect.ImmutableListMultimap;
import org.wigeongrade.errors.WigeongradeException;

/** What a caller gets; header names are in lower case. Immutable, but for the stream. */
sealed interface CallerResult {
    /** A whole answer of an endpoint. Do not change {@code body}. */
    @SuppressWarnings("ArrayRecordComponent")
    record Whole(int status, ImmutableListMultimap<String, String> headers, byte[] body) implements CallerResult {}

    /** The beginning of an answer whose body follows. */
    record Streamed(int status, ImmutableListMultimap<String, String> headers, BodyStream body)
            implements CallerResult {}

    /** A refusal or failure. */
    record Failed(WigeongradeException failure) implements CallerResult {}
}

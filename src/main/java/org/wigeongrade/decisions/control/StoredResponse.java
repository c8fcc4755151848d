package org.wigeongrade.decisions.control;

/**
 * Complete response of a plain service, stored for requests that repeat its idempotency key. Immutable: {@code body}
 * must not be modified.
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredResponse(int status, String contentType, byte[] body) {}

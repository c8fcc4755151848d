package org.wigeongrade.decisions.control;

/** A plain service's whole answer, kept for resends of its idempotency key. Immutable; do not change {@code body}. */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, String contentType, byte[] body) {}

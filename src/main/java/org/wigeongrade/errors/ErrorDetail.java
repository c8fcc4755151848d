package org.wigeongrade.errors;

/** One fault of several: where it stands and what to mend. Lines count from 1. Immutable; safe for use from any thread. */
public record ErrorDetail(String file, int line, String object, String message) {}

package org.wigeongrade.errors;

/**
 * One of several faults: its location and its fix. Lines are counted from 1. Immutable; safe for use from any thread.
 */
public record ErrorDetail(String file, int line, String object, String message) {}

package org.wigeongrade.decisions.control;

import org.wigeongrade.ids.ChangeId;

/**
 * The first answer to a change. {@code contentDigest} is the SHA-256 of what the change asked for, in hexadecimal.
 * Immutable; safe for use from any thread.
 */
public record ChangeAnswer(ChangeId changeId, String contentDigest, CommandResult result) {}

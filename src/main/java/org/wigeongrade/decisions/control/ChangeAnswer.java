package org.wigeongrade.decisions.control;

import org.wigeongrade.ids.ChangeId;

/**
 * The result with which a change was first answered. {@code contentDigest} is the SHA-256 of the change without its
 * proposal time, in hexadecimal. Immutable; safe for use from any thread.
 */
public record ChangeAnswer(ChangeId changeId, String contentDigest, CommandResult result) {}

package org.wigeongrade.decisions.control;

import org.wigeongrade.ids.ChangeId;

/**
 * The first result of a change, which is returned again if the change is resent. {@code contentDigest} is the
 * SHA-256 of the change without its proposal time, in hexadecimal. Immutable; safe for use from any thread.
 */
public record ChangeResult(ChangeId changeId, String contentDigest, CommandResult result) {}

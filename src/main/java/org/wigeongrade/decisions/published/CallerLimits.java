package org.wigeongrade.decisions.published;

/**
 * Limits on the size and duration of callers' requests. Immutable; safe for use from any thread.
 *
 * @param idleTimeoutMs time after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** The limits until a configuration is known; the values of the users' deployments. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}

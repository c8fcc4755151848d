package org.wigeongrade.callers;

import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.metrics.RequestOutcome;

/**
 * How an exchange ended, for limits and measures. {@code zone} is that of the last endpoint it was sent to, or this VM's
 * own if it was sent to none. Immutable; safe for use from any thread.
 */
record ExchangeEnd(RequestOutcome outcome, AvailabilityZone zone, long tokens) {}

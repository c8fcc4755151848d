package org.wigeongrade.callers;

import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.metrics.RequestOutcome;

/**
 * How an exchange ended, for limits and metrics. {@code zone} is the zone of the last endpoint that the request was
 * sent to, or this VM's own zone if it was not sent. Immutable; safe for use from any thread.
 */
record ExchangeSummary(RequestOutcome outcome, AvailabilityZone zone, long tokens) {}

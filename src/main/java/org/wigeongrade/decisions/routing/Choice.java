package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;

/**
 * The chosen endpoint, the reason for choosing it, and the endpoints compared. Immutable; safe for use from any thread.
 */
record Choice(EndpointView endpoint, ChoiceReason reason, ImmutableList<EndpointView> considered) {}

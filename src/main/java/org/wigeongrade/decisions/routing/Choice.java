package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;

/** The endpoint picked, why, and the endpoints looked at. Immutable; safe for use from any thread. */
record Choice(EndpointView endpoint, ChoiceReason reason, ImmutableList<EndpointView> considered) {}

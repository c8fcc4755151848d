package org.wigeongrade.fleet.entry;

import java.util.Optional;
import org.wigeongrade.ids.ServiceName;

/**
 * What the entry node that relayed a request had decided about it. Immutable; safe for use from any thread.
 *
 * @param earlierAttempts number of attempts that may have run before
 * @param configurationVersion version by which it routed the request; 0 if its build does not state it
 * @param service service to which it routed the request; empty if its build does not state it
 */
record RelayOrigin(int earlierAttempts, long configurationVersion, Optional<ServiceName> service) {}

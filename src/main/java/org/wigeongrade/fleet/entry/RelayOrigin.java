package org.wigeongrade.fleet.entry;

import java.util.Optional;
import java.util.OptionalInt;
import org.wigeongrade.ids.ServiceName;

/**
 * What the entry node that relayed a request had decided about it. Immutable; safe for use from any thread.
 *
 * @param earlierAttempts number of attempts that may have run before
 * @param granted number of runs that this node may cause; empty if the build of the other node does not state it
 * @param configurationVersion version by which it routed the request; 0 if its build does not state it
 * @param service service to which it routed the request; empty if its build does not state it
 */
record RelayOrigin(
        int earlierAttempts, OptionalInt granted, long configurationVersion, Optional<ServiceName> service) {}

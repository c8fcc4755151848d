package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.wigeongrade.nodes.thrift.EndpointRecord;
import org.wigeongrade.nodes.thrift.LoadRecord;

/**
 * The endpoints that may serve, as the leader saw them at one point in time.
 *
 * <p>{@code servingDeadlinesNanos} maps endpoint ids to deadlines on the leader's monotonic clock; {@code notServing}
 * maps the names of groups that do not serve to the reason. Immutable by convention: the records are never changed
 * after creation.
 */
public record FleetSnapshot(
        long takenAtNanos,
        long appliedIndex,
        long digest,
        ImmutableList<EndpointRecord> endpoints,
        ImmutableMap<String, Long> servingDeadlinesNanos,
        ImmutableList<LoadRecord> loads,
        ImmutableMap<String, String> notServing) {}

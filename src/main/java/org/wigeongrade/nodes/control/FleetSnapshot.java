package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.wigeongrade.nodes.thrift.EndpointRecord;
import org.wigeongrade.nodes.thrift.LoadRecord;

/**
 * The endpoints that may serve, as the leader saw them at one moment.
 *
 * <p>{@code servingDeadlinesNanos} are on the leader's monotonic clock, by endpoint id; {@code notServing} gives the
 * reason by group name. Immutable by convention: the records are never changed after creation.
 */
public record FleetSnapshot(
        long takenAtNanos,
        long appliedIndex,
        long digest,
        ImmutableList<EndpointRecord> endpoints,
        ImmutableMap<String, Long> servingDeadlinesNanos,
        ImmutableList<LoadRecord> loads,
        ImmutableMap<String, String> notServing) {}

package org.wigeongrade.standin;

import java.util.List;

/** The state that an endpoint VM reports to an entry VM in the endpoint protocol. Immutable; thread-safe. */
public record Announcement(
        String vm,
        long incarnation,
        String address,
        String availabilityZone,
        String fabricDomain,
        int accelerators,
        String kind,
        String service,
        String group,
        long orderTerm,
        long orderSequence,
        String modelVersion,
        String state,
        int running,
        int waiting,
        long sequence,
        Long cacheFirstSequence,
        List<String> cacheAdded,
        List<String> cacheRemoved) {}

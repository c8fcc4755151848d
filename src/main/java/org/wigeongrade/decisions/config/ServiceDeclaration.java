package org.wigeongrade.decisions.config;

import java.util.List;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ServiceName;

/**
 * Declares a plain service. Callers reach it under {@code /services/<name>/}. {@code idempotentMethods} are the HTTP
 * methods whose calls may be repeated; every other call is sent at most once. {@code longestRunMs} is the longest time
 * that one call may run. Immutable; safe for use from any thread.
 */
public record ServiceDeclaration(
        ServiceName name,
        int capacity,
        int coldCapacity,
        long longestRunMs,
        List<String> idempotentMethods,
        List<AvailabilityZone> zones) {
    public ServiceDeclaration {
        idempotentMethods = idempotentMethods == null ? List.of() : List.copyOf(idempotentMethods);
        zones = zones == null ? List.of() : List.copyOf(zones);
    }
}

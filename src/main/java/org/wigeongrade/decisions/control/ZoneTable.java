package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ZoneDeclaration;
import org.wigeongrade.ids.AvailabilityZone;

/**
 * The states that operators gave to availability zones.
 *
 * <p>Invariant: a state stays until an operator changes it, also while the zone is not declared. A zone without one is
 * in. Not thread safe; {@link ControlState} guards it.
 */
final class ZoneTable {
    private final TreeMap<AvailabilityZone, ZoneState> states = new TreeMap<>();

    void set(AvailabilityZone zone, ZoneState state) {
        states.put(zone, state);
    }

    ZoneState stateOf(AvailabilityZone zone) {
        return states.getOrDefault(zone, ZoneState.IN);
    }

    /** Returns the state of each declared zone and of each zone that was given one, in the order of names. */
    ImmutableMap<AvailabilityZone, ZoneState> all(DeclaredSet set) {
        final Map<AvailabilityZone, ZoneState> all = new TreeMap<>(states);
        set.zones().stream().map(ZoneDeclaration::name).forEach(zone -> all.putIfAbsent(zone, ZoneState.IN));
        return ImmutableMap.copyOf(all);
    }

    List<ZoneEntry> entries() {
        return states.entrySet().stream()
                .map(entry -> new ZoneEntry(entry.getKey(), entry.getValue()))
                .toList();
    }

    void restore(List<ZoneEntry> entries) {
        states.clear();
        entries.forEach(entry -> states.put(entry.zone(), entry.state()));
    }
}

package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ZoneDeclaration;
import org.wigeongrade.ids.AvailabilityZone;

/**
 * The states that operators set for availability zones.
 *
 * <p>Invariant: a state is kept until an operator changes it, even while the zone is not declared. A zone without a
 * state is {@link ZoneState#IN}. Not thread safe; guarded by {@link ControlState}.
 */
final class ZoneTable {
    private final TreeMap<AvailabilityZone, ZoneState> states = new TreeMap<>();

    void set(AvailabilityZone zone, ZoneState state) {
        states.put(zone, state);
    }

    ZoneState stateOf(AvailabilityZone zone) {
        return states.getOrDefault(zone, ZoneState.IN);
    }

    /** Returns the state of each zone that is declared or has a state, ordered by name. */
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

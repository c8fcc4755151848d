package org.wigeongrade.nodes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.control.ZoneEntry;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.Revision;

/** One revision of the configuration, as it is sent to entry VMs. Immutable; safe for use from any thread. */
public record ConfigurationView(Revision revision, DeclaredSet declaredSet, List<ZoneEntry> zones) {
    /** The configuration before any change. */
    public static final ConfigurationView EMPTY = new ConfigurationView(Revision.NONE, DeclaredSet.EMPTY, List.of());

    private static final ObjectMapper MAPPER = new ObjectMapper();

    public ConfigurationView {
        zones = List.copyOf(zones);
    }

    /** Returns whether new work may be sent to endpoints in the zone. */
    public boolean takesNewWork(AvailabilityZone zone) {
        return zones.stream()
                .filter(entry -> entry.zone().equals(zone))
                .map(ZoneEntry::state)
                .allMatch(ZoneState::takesNewWork);
    }

    /** Returns the configuration as JSON in UTF-8. */
    public byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException failure) {
            throw new UncheckedIOException("the configuration cannot be encoded as JSON", failure);
        }
    }

    /** Parses the JSON form; throws {@link UncheckedIOException} if it is malformed. */
    public static ConfigurationView decode(byte[] json) {
        try {
            return MAPPER.readValue(json, ConfigurationView.class);
        } catch (IOException failure) {
            throw new UncheckedIOException("the configuration is not valid JSON or has an unexpected form", failure);
        }
    }
}

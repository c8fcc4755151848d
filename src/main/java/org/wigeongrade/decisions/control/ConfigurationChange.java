package org.wigeongrade.decisions.control;

import java.util.List;
import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.ids.Revision;

/** Accepted configuration change, with the objects that it changed. Immutable; safe for use from any thread. */
public record ConfigurationChange(Revision revision, String operator, List<ObjectId> changed, long atEpochMs) {
    public ConfigurationChange {
        changed = List.copyOf(changed);
    }
}

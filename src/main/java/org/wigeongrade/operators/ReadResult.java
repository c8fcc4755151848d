package org.wigeongrade.operators;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.decisions.config.ConfigurationFault;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ObjectId;

/**
 * What reading declared files gave.
 *
 * <p>Invariant: {@code set} holds every object that could be read and is whole only if {@code faults} is empty. {@code
 * positions} tells where each object was declared last. Immutable; safe for use from any thread.
 */
public record ReadResult(DeclaredSet set, List<FileFault> faults, Map<ObjectId, FilePosition> positions) {
    public ReadResult {
        faults = ImmutableList.copyOf(faults);
        positions = ImmutableMap.copyOf(positions);
    }

    /** A line in a declared file, counted from 1. */
    public record FilePosition(String file, int line) {}

    /** Returns whether every object was read. */
    public boolean isWhole() {
        return faults.isEmpty();
    }

    /** Returns the fault of a rule at the line where its object is declared. */
    public FileFault locate(ConfigurationFault fault) {
        final FilePosition position = positions.getOrDefault(fault.object(), new FilePosition("(unknown file)", 1));
        return new FileFault(position.file(), position.line(), 1, fault.code(), fault.message());
    }
}

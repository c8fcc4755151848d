package org.wigeongrade.operators;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.decisions.config.ConfigurationFault;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ObjectId;

/**
 * The result of reading declared files.
 *
 * <p>Invariant: {@code set} holds every object that could be read; it is complete only if {@code faults} is empty.
 * {@code positions} gives the position of the last declaration of each object. Immutable; safe for use from any thread.
 */
public record DeclaredSetReadResult(DeclaredSet set, List<FileFault> faults, Map<ObjectId, FilePosition> positions) {
    public DeclaredSetReadResult {
        faults = ImmutableList.copyOf(faults);
        positions = ImmutableMap.copyOf(positions);
    }

    /** A line in a declared file, counted from 1. */
    public record FilePosition(String file, int line) {}

    /** Returns whether every object was read without a fault. */
    public boolean hasNoFaults() {
        return faults.isEmpty();
    }

    /** Returns a configuration fault with the file and line where its object is declared. */
    public FileFault toFileFault(ConfigurationFault fault) {
        final FilePosition position = positions.getOrDefault(fault.object(), new FilePosition("(unknown file)", 1));
        return new FileFault(position.file(), position.line(), 1, fault.code(), fault.message());
    }
}

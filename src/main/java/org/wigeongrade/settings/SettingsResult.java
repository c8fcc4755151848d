package org.wigeongrade.settings;

import com.google.common.collect.ImmutableList;
import java.util.stream.Collectors;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/** Result of reading a settings file. Immutable; safe for use from any thread. */
public sealed interface SettingsResult {
    /** The settings are complete and valid. */
    record Valid(NodeSettings settings) implements SettingsResult {}

    /** The file has faults; the node must not start. */
    record Invalid(ImmutableList<Fault> faults) implements SettingsResult {}

    /** Returns the settings or throws with {@link ErrorKind#INVALID_CONFIGURATION} and every fault, one per line. */
    default NodeSettings orElseThrow() {
        if (this instanceof Valid valid) {
            return valid.settings();
        }
        final ImmutableList<Fault> faults = ((Invalid) this).faults();
        final String lines = faults.stream().map(Fault::toLine).collect(Collectors.joining("\n"));
        throw new WigeongradeException(
                ErrorKind.INVALID_CONFIGURATION, faults.size() + " fault(s) in the settings file:\n" + lines);
    }
}

package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.wigeongrade.ids.AvailabilityZone;

/**
 * What an entry node stated that it has in force. Immutable; safe for use from any thread.
 *
 * @param version version of its configuration; 0 if it has none
 * @param zonesOut availability zones that it treats as out of service; empty if its build does not state them
 */
public record ConfirmedView(long version, Optional<ImmutableSet<AvailabilityZone>> zonesOut) {}

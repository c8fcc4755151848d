package org.wigeongrade.decisions.published;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.wigeongrade.ids.OrganisationName;

/** Finds keys that two organisations share. Messages do not contain the key. Stateless. */
final class SharedKeyRule implements PublishedRule {
    @Override
    public String code() {
        return "key_of_two_organisations";
    }

    @Override
    public Stream<String> findFaults(PublishedConfiguration configuration) {
        final Map<String, OrganisationName> holders = new HashMap<>();
        final Stream.Builder<String> faults = Stream.builder();
        for (final PublishedOrganisation organisation : configuration.organisations()) {
            for (final String key : organisation.keys()) {
                final OrganisationName holder = holders.putIfAbsent(key, organisation.name());
                if (holder != null && !holder.equals(organisation.name())) {
                    faults.add("organisations " + holder + " and " + organisation.name()
                            + " use the same key; give each its own");
                }
            }
        }
        return faults.build();
    }
}

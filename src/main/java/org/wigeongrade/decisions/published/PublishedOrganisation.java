package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.wigeongrade.ids.OrganisationName;

/**
 * An organisation and the keys that its requests may carry. Immutable; safe for use from any thread.
 *
 * @param priority priority of the organisation's requests, which goes before that of their route; 0 is the highest
 */
public record PublishedOrganisation(OrganisationName name, Set<String> keys, int priority) {
    public PublishedOrganisation {
        keys = ImmutableSet.copyOf(keys);
    }
}

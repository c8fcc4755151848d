package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.wigeongrade.ids.OrganisationName;

/** An organisation and the keys that its requests may carry. Immutable; safe for use from any thread. */
public record PublishedOrganisation(OrganisationName name, Set<String> keys) {
    public PublishedOrganisation {
        keys = ImmutableSet.copyOf(keys);
    }
}

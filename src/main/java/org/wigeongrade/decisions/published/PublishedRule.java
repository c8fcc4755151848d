package org.wigeongrade.decisions.published;

import java.util.stream.Stream;

/** Finds one kind of fault in a configuration. Implementations are stateless and safe for use from any thread. */
interface PublishedRule {
    /** Returns the reason code, which docs/RULES.md lists. */
    String code();

    /** Returns a message for each occurrence of the fault. */
    Stream<String> findFaults(PublishedConfiguration configuration);
}

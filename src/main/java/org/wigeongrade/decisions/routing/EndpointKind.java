package org.wigeongrade.decisions.routing;

import java.util.Locale;

/** What takes requests at an endpoint. */
public enum EndpointKind {
    ENGINE,
    SERVICE;

    /** Returns the name as it stands in announcements. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}

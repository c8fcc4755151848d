package org.wigeongrade.decisions.routing;

import java.util.Locale;

/** The kind of process that handles requests at an endpoint. */
public enum EndpointKind {
    ENGINE,
    SERVICE;

    /** Returns the name used in announcements. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package org.wigeongrade.platform;

import java.util.Optional;
import java.util.OptionalLong;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.errors.WigeongradeException;

/** The report that an engine gives of itself. Immutable; safe for use from any thread. */
final class EngineReport {
    static final String PATH = "/-/report";
    private static final System.Logger LOGGER = System.getLogger(EngineReport.class.getName());

    private final Optional<WireJson> fields;

    private EngineReport(Optional<WireJson> fields) {
        this.fields = fields;
    }

    /** Parses a report; one that is not a JSON object states nothing. */
    static EngineReport parse(Bytes body) {
        try {
            return new EngineReport(Optional.of(WireJson.parse(body.array())));
        } catch (WigeongradeException e) {
            LOGGER.log(System.Logger.Level.WARNING, "ignored an engine''s report: {0}", e.getMessage());
            return new EngineReport(Optional.empty());
        }
    }

    /** Returns the start of the process, in milliseconds since 1970; empty if the report does not state it. */
    OptionalLong startMs() {
        return integer("born");
    }

    /** Returns the number of orders that the process has accepted; empty if the report does not state it. */
    OptionalLong acceptedOrders() {
        return integer("sequence");
    }

    private OptionalLong integer(String field) {
        try {
            return fields.filter(report -> report.has(field)).isPresent()
                    ? OptionalLong.of(fields.get().integer(field))
                    : OptionalLong.empty();
        } catch (WigeongradeException e) {
            LOGGER.log(System.Logger.Level.WARNING, "ignored a field of an engine''s report: {0}", e.getMessage());
            return OptionalLong.empty();
        }
    }
}

package org.wigeongrade.decisions.config;

/**
 * A fault found by a {@link ConfigurationRule}. {@code message} states what is wrong and how to fix it. {@code field}
 * is the name of the field in declared files. Immutable; safe for use from any thread.
 */
public record ConfigurationFault(Severity severity, String code, ObjectId object, String field, String message) {
    /** How serious a fault is. */
    public enum Severity {
        ERROR,
        WARNING;

        /** Returns whether the whole set is refused because of such a fault. */
        public boolean refusesSet() {
            return this == ERROR;
        }
    }

    /** Returns a fault for which the set is refused. */
    public static ConfigurationFault error(String code, ObjectId object, String field, String message) {
        return new ConfigurationFault(Severity.ERROR, code, object, field, message);
    }

    /** Returns a fault that is reported to the operator but does not cause the set to be refused. */
    public static ConfigurationFault warning(String code, ObjectId object, String field, String message) {
        return new ConfigurationFault(Severity.WARNING, code, object, field, message);
    }

    @Override
    public String toString() {
        return object + ", field " + field + ": " + message + " (" + code + ")";
    }
}

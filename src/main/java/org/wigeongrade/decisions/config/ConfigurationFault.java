package org.wigeongrade.decisions.config;

/**
 * One finding of a {@link ConfigurationRule}: {@code message} states what is wrong and the fix. {@code field} is the
 * name of the field in declared files. Immutable; safe for use from any thread.
 */
public record ConfigurationFault(Severity severity, String code, ObjectId object, String field, String message) {
    /** Whether a fault refuses the set. */
    public enum Severity {
        ERROR,
        WARNING;

        /** Returns whether a set with such a fault is refused whole. */
        public boolean refusesSet() {
            return this == ERROR;
        }
    }

    /** Returns a fault that refuses the set. */
    public static ConfigurationFault error(String code, ObjectId object, String field, String message) {
        return new ConfigurationFault(Severity.ERROR, code, object, field, message);
    }

    /** Returns a fault that is shown and does not refuse the set. */
    public static ConfigurationFault warning(String code, ObjectId object, String field, String message) {
        return new ConfigurationFault(Severity.WARNING, code, object, field, message);
    }

    @Override
    public String toString() {
        return object + ", field " + field + ": " + message + " (" + code + ")";
    }
}

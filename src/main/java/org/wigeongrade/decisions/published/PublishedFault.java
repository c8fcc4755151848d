package org.wigeongrade.decisions.published;

/**
 * One fault of a configuration. Immutable; safe for use from any thread.
 *
 * @param code reason code of the rule that found it
 * @param message what is wrong and how to fix it
 */
public record PublishedFault(String code, String message) {
    @Override
    public String toString() {
        return code + ": " + message;
    }
}

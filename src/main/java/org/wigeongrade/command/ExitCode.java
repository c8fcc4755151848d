package org.wigeongrade.command;

/** Exit codes of the program; docs/operators/command-line.md lists the same ones. Immutable; safe for any thread. */
public enum ExitCode {
    OK(0, "the command did what was asked"),
    REFUSED(1, "the request was refused, or the checked set has faults; stderr says why"),
    USAGE(2, "the command line cannot be read"),
    BAD_FILE(3, "a settings or input file cannot be read or has faults; nothing was started or sent"),
    UNREACHABLE(4, "no entry VM could be reached or serve; nothing was changed"),
    OUTCOME_UNKNOWN(5, "the answer was lost; the change may be in force, send it again with the same change id"),
    PENDING(6, "accepted, but not complete everywhere within the time given"),
    INTERNAL(70, "a fault of the program");

    private final int value;
    private final String meaning;

    ExitCode(int value, String meaning) {
        this.value = value;
        this.meaning = meaning;
    }

    /** Returns the number that the process exits with. */
    public int value() {
        return value;
    }

    /** Returns what the code means, as a phrase for help and docs. */
    public String meaning() {
        return meaning;
    }
}

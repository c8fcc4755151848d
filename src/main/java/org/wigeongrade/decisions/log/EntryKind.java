package org.wigeongrade.decisions.log;

/** Kind of a log entry's payload. The codes are part of the file and message formats. Immutable. */
public enum EntryKind {
    /** A command of the state machine. */
    COMMAND(0),
    /** A new list of voters. */
    MEMBERSHIP(1),
    /** No payload. A new leader appends it as its first entry, so that it can commit the entries of earlier terms. */
    NO_OP(2);

    private final int code;

    EntryKind(int code) {
        this.code = code;
    }

    public int code() {
        return code;
    }

    /** Returns the kind with this code; throws {@link IllegalArgumentException} if there is none. */
    public static EntryKind of(int code) {
        return switch (code) {
            case 0 -> COMMAND;
            case 1 -> MEMBERSHIP;
            case 2 -> NO_OP;
            default -> throw new IllegalArgumentException("entry kind " + code + " is unknown; upgrade this VM");
        };
    }
}

package org.wigeongrade.decisions.discovery;

/** What is known of a heartbeat that contradicts a known VM. Immutable; safe for use from any thread. */
public enum ConflictVerdict {
    /** The process at the stated address is the VM, with the stated start. */
    STARTED(Acceptance.AT_ONCE, true),
    /** The process at the stated address is the VM, and no other process of its name is known. */
    NAMED(Acceptance.AT_ONCE, true),
    /** The process at the stated address is the VM, and which of its starts is right makes no difference. */
    LATEST(Acceptance.AT_ONCE, true),
    /** The process at the stated address is the VM, but it did not state which of its starts is right. */
    START_UNKNOWN(Acceptance.AFTER_SILENCE, true),
    /** Its name is known for another service, and no process stated its start. */
    OTHER_SERVICE(Acceptance.AFTER_SILENCE_IF_EARLIEST, false),
    /** No response shows which one is right. */
    UNDECIDED(Acceptance.AFTER_SILENCE_IF_LATEST, false),
    /** The process at the address is another one, or the VM that the heartbeat contradicts is still at its own. */
    REFUTED(Acceptance.NEVER, false);

    /** When the heartbeat is recorded. */
    private enum Acceptance {
        AT_ONCE,
        AFTER_SILENCE,
        AFTER_SILENCE_IF_LATEST,
        AFTER_SILENCE_IF_EARLIEST,
        NEVER
    }

    private final Acceptance acceptance;
    private final boolean isAtAddress;

    ConflictVerdict(Acceptance acceptance, boolean isAtAddress) {
        this.acceptance = acceptance;
        this.isAtAddress = isAtAddress;
    }

    /**
     * Returns whether to record the heartbeat.
     *
     * @param othersSilent whether every VM that it contradicts has fallen silent
     * @param latest whether it states a later start than all of them
     * @param earliest whether it states an earlier start than all of them
     */
    boolean accepts(boolean othersSilent, boolean latest, boolean earliest) {
        return switch (acceptance) {
            case AT_ONCE -> true;
            case AFTER_SILENCE -> othersSilent;
            case AFTER_SILENCE_IF_LATEST -> othersSilent && latest;
            case AFTER_SILENCE_IF_EARLIEST -> othersSilent && earliest;
            case NEVER -> false;
        };
    }

    /** Returns whether the VM responded at the address, so that any other VM that is known there has ended. */
    boolean isAtAddress() {
        return isAtAddress;
    }

    /** Returns whether the process stated the start, so that earlier processes of its name have ended. */
    boolean confirmsStart() {
        return this == STARTED;
    }
}

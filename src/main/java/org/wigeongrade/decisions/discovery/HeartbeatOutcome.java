package org.wigeongrade.decisions.discovery;

/** What became of a heartbeat. Immutable; safe for use from any thread. */
public enum HeartbeatOutcome {
    /** It is the latest of its VM. */
    RECORDED,
    /** It contradicts a known VM, and is kept until the processes at the addresses have told which one is right. */
    CONTESTED,
    /** It changed nothing: it is outdated, or for a service that is not configured. */
    IGNORED
}

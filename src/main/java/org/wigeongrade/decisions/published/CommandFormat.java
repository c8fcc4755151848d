package org.wigeongrade.decisions.published;

/**
 * Numbers of the sets of commands that the replicated log may hold. A build that does not know a command cannot apply
 * the log, so a format is used only once every control VM supports it. Stateless.
 */
public final class CommandFormat {
    /** Configurations and availability zones. Builds that state no format support this one. */
    public static final int BASE = 1;

    /** Withdrawals of VMs as well. */
    public static final int WITHDRAWALS = 2;

    /** Groups whose heads may serve as well. */
    public static final int GROUPS = 3;

    /** The newest format that this build supports. */
    public static final int LATEST = GROUPS;

    private CommandFormat() {}
}

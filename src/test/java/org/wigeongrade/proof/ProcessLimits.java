package org.wigeongrade.proof;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits of a child process, as a small VM has them. Immutable; safe for use from any thread.
 *
 * @param heapMib largest heap; a process that needs more ends
 * @param directMib largest direct memory
 * @param descriptors largest number of open descriptors
 */
public record ProcessLimits(int heapMib, int directMib, int descriptors) {
    /** The limits of {@link ManagedProcess} and of the machine. */
    public static final ProcessLimits DEFAULT = new ProcessLimits(0, 0, 0);

    List<String> jvmFlags() {
        final List<String> flags = new ArrayList<>();
        if (heapMib > 0) {
            flags.add("-Xmx" + heapMib + "m");
            flags.add("-XX:+ExitOnOutOfMemoryError");
        }
        if (directMib > 0) {
            flags.add("-Dio.netty.maxDirectMemory=" + directMib * 1_048_576L);
            flags.add("-XX:MaxDirectMemorySize=" + directMib + "m");
        }
        return flags;
    }

    /** Returns the words before the command that set its limits. */
    List<String> launcher() {
        return descriptors == 0 ? List.of() : List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh");
    }
}

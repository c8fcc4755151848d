package org.wigeongrade.disk;

/**
 * Decides what happens after a write that failed because the disk is full. Called on the thread that writes, which
 * implementations may block.
 */
@FunctionalInterface
public interface FullDiskPolicy {
    /** Fails the write, as for any other disk failure. */
    FullDiskPolicy FAIL = message -> false;

    /** Returns whether to repeat the write; {@code message} describes the failure. */
    boolean shouldRepeat(String message);
}

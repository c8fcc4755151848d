package org.wigeongrade.command;

/** A node that the command line starts and stops. Implementations are safe for use from any thread. */
public interface NodeProcess {
    /** Starts serving; returns once the node listens on its ports. */
    void start();

    /** Begins a graceful stop and returns at once; further calls have no effect. */
    void stop();

    /** Waits until the node has stopped. */
    void awaitStopped() throws InterruptedException;
}

package org.wigeongrade.command;

/** A node as the command line runs it. Implementations are safe for use from any thread. */
public interface NodeProcess {
    /** Starts serving; returns once the node listens. */
    void start();

    /** Begins a graceful stop and returns at once; a second call changes nothing. */
    void stop();

    /** Waits until the node has stopped. */
    void awaitStopped() throws InterruptedException;
}

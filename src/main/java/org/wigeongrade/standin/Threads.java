package org.wigeongrade.standin;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Thread factories of the stand-ins. Stateless; safe for use from any thread. */
final class Threads {
    private Threads() {}

    /** Returns a factory of daemon threads that are named {@code name} and a number. */
    static ThreadFactory daemon(String name) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + '-' + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}

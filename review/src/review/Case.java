package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** What all cases share: the record, the exit status, waits and the limit of time. */
abstract class Case {
    /** Not 1, which the JVM uses itself; the script turns it into 1. */
    private static final int BROKEN = 10;

    private static final int HELD = 0;
    private static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_S = 112;
    private static final long STARTED_NANOS = System.nanoTime();
    private static final Path RECORD = Path.of(System.getProperty("review.record"));

    /** Whether the disruption is brought about. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Runs the case; returns whether the rule held. */
    abstract boolean run() throws Exception;

    static void main(Case toRun) throws IOException {
        Files.deleteIfExists(RECORD);
        daemon("limit", () -> {
            sleepMs(LIMIT_S * 1_000);
            note("the case did not end within " + LIMIT_S + " s");
            System.exit(COULD_NOT_RUN);
        });
        int exit = COULD_NOT_RUN;
        try {
            note(toRun.trouble ? "with the disruption" : "without the disruption");
            final boolean held = toRun.run();
            exit = held ? HELD : BROKEN;
            note(held ? "RESULT the rule held" : "RESULT the rule was broken");
        } catch (Exception | Error e) {
            note("RESULT the case could not run: " + e);
            e.printStackTrace(System.out);
        }
        System.exit(exit);
    }

    static synchronized void note(String text) {
        final String line = "%7.3f %s%n"
                .formatted((System.nanoTime() - STARTED_NANOS) / 1e9, text);
        System.out.print(line);
        try {
            Files.writeString(RECORD, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void await(String what, long timeoutMs, BooleanSupplier condition) {
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("not within " + timeoutMs + " ms: " + what);
            }
            sleepMs(100);
        }
        note(what);
    }

    static void sleepMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(String name, Runnable task) {
        final Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}

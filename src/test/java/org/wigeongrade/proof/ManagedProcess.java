package org.wigeongrade.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A child process of a test, with its output in a file. Signals go to its own process id only.
 *
 * <p>Invariant: {@link #close} leaves no process behind. Safe for use from any thread.
 */
public final class ManagedProcess implements AutoCloseable {
    private static final List<String> JAVA = List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxMetaspaceSize=64m",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-cp",
            System.getProperty("java.class.path"));

    private final String name;
    private final Path output;
    private final List<String> command;
    private Process process;

    private ManagedProcess(String name, Path output, List<String> command) {
        this.name = name;
        this.output = output;
        this.command = command;
    }

    /** Starts {@code mainClass} of this project with {@code arguments}; output goes to {@code folder/name.log}. */
    public static ManagedProcess java(String name, Path folder, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(JAVA);
        command.add(mainClass);
        command.addAll(arguments);
        ManagedProcess managed = new ManagedProcess(name, folder.resolve(name + ".log"), command);
        managed.restart();
        return managed;
    }

    public String name() {
        return name;
    }

    /** Starts the process anew; the one before must have ended. */
    public synchronized void restart() {
        start(command);
    }

    /** Starts the process anew with a bound on the size of its files, as on a disk that is nearly full. */
    public synchronized void restartWithFileLimit(int blocks) {
        List<String> limited = new ArrayList<>(List.of("sh", "-c", "ulimit -f " + blocks + "; exec \"$@\"", "sh"));
        limited.addAll(command);
        start(limited);
    }

    private void start(List<String> started) {
        if (process != null && process.isAlive()) {
            throw new IllegalStateException(name + " still runs; end it before it is started again");
        }
        try {
            process = new ProcessBuilder(started)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(name + " cannot be started", e);
        }
    }

    /** Ends the process at once, as a lost VM does. */
    public synchronized void kill() {
        process.destroyForcibly();
        awaitEnd(5_000);
    }

    /** Asks the process to stop by SIGTERM. */
    public synchronized void terminate() {
        process.destroy();
    }

    /** Stops the process from running (SIGSTOP) without ending it. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process run on. */
    public void thaw() {
        signal("-CONT");
    }

    private synchronized void signal(String signal) {
        if (!process.isAlive()) {
            return;
        }
        try {
            Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
            if (kill.waitFor() != 0) {
                throw new IllegalStateException("signal " + signal + " to " + name + " failed");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public synchronized boolean isAlive() {
        return process.isAlive();
    }

    synchronized long pid() {
        return process.pid();
    }

    /** Waits for the end of the process and returns whether it ended in time. */
    public boolean awaitEnd(long timeoutMs) {
        Process awaited;
        synchronized (this) {
            awaited = process;
        }
        try {
            return awaited.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    synchronized int exitStatus() {
        return process.exitValue();
    }

    /** Returns what the process printed. */
    public String output() {
        try {
            return Files.exists(output) ? Files.readString(output) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() {
        process.destroyForcibly();
        boolean unused = awaitEnd(5_000);
    }
}

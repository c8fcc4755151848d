package org.wigeongrade.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A child process of a test, with its output in a file. Signals are sent only to its own process id.
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

    private static final long BYTES_PER_KIB = 1_024;
    /** Words at the end of {@link #JAVA} that follow its flags: the class path and its value. */
    private static final int JAVA_FLAGS_AFTER = 2;

    private final String name;
    private final Path output;
    private final List<String> command;
    private Process process;
    private int outputCharsBeforeStart;

    private ManagedProcess(String name, Path output, List<String> command) {
        this.name = name;
        this.output = output;
        this.command = command;
    }

    /** Starts {@code mainClass} of this project with {@code arguments}; output goes to {@code folder/name.log}. */
    public static ManagedProcess startJava(String name, Path folder, String mainClass, List<String> arguments) {
        return startJava(name, folder, ProcessLimits.DEFAULT, mainClass, arguments);
    }

    /** Starts a process as above, with less memory and fewer descriptors. */
    public static ManagedProcess startJava(
            String name, Path folder, ProcessLimits limits, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(limits.launcher());
        command.addAll(JAVA);
        command.addAll(command.size() - JAVA_FLAGS_AFTER, limits.jvmFlags());
        command.add(mainClass);
        command.addAll(arguments);
        ManagedProcess managedProcess = new ManagedProcess(name, folder.resolve(name + ".log"), command);
        managedProcess.restart();
        return managedProcess;
    }

    public String name() {
        return name;
    }

    /** Starts the process again; the previous one must have ended. */
    public synchronized void restart() {
        start(command);
    }

    /** Starts the process again with a limit on the size of its files, to simulate a disk that is nearly full. */
    public synchronized void restartWithFileLimit(int blocks) {
        List<String> commandWithLimit =
                new ArrayList<>(List.of("sh", "-c", "ulimit -f " + blocks + "; exec \"$@\"", "sh"));
        commandWithLimit.addAll(command);
        start(commandWithLimit);
    }

    /** Lets every write of the running process that makes a file larger than this fail, as on a full disk. */
    public void fillDisk(long maxFileBytes) {
        limitFileSize(Long.toString(maxFileBytes));
    }

    /** Ends {@link #fillDisk}. */
    public void freeDisk() {
        limitFileSize("unlimited");
    }

    private synchronized void limitFileSize(String softLimit) {
        run("prlimit", "--pid=" + process.pid(), "--fsize=" + softLimit + ":unlimited");
    }

    private void start(List<String> commandToRun) {
        if (process != null && process.isAlive()) {
            throw new IllegalStateException(name + " is still running; stop it before starting it again");
        }
        outputCharsBeforeStart = output().length();
        try {
            process = new ProcessBuilder(commandToRun)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(name + " cannot be started", e);
        }
    }

    /** Kills the process with SIGKILL, to simulate the loss of a VM. */
    public synchronized void kill() {
        process.destroyForcibly();
        awaitEnd(5_000);
    }

    /** Sends SIGTERM, which asks the process to stop. */
    public synchronized void terminate() {
        process.destroy();
    }

    /** Sends SIGHUP, which asks the process to read its settings again. */
    public void hangUp() {
        signal("-HUP");
    }

    /** Freezes the process with SIGSTOP. */
    public void freeze() {
        signal("-STOP");
    }

    /** Resumes a frozen process with SIGCONT. */
    public void resume() {
        signal("-CONT");
    }

    private synchronized void signal(String signal) {
        if (!process.isAlive()) {
            return;
        }
        run("kill", signal, Long.toString(process.pid()));
    }

    private void run(String... tool) {
        try {
            if (new ProcessBuilder(tool).start().waitFor() != 0) {
                throw new IllegalStateException(String.join(" ", tool) + " failed for " + name);
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

    /** Returns the largest resident memory that the running process has had, in bytes. */
    public long peakMemoryBytes() {
        final Path status = Path.of("/proc", Long.toString(pid()), "status");
        try {
            return Files.readAllLines(status).stream()
                    .filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KIB)
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(name + " has ended", e);
        }
    }

    /** Returns the number of descriptors that the running process has open. */
    public int openDescriptors() {
        final String[] descriptors =
                Path.of("/proc", Long.toString(pid()), "fd").toFile().list();
        return descriptors == null ? 0 : descriptors.length;
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

    /** Returns the output of the process since it was started last. */
    public synchronized String outputSinceStart() {
        return output().substring(outputCharsBeforeStart);
    }

    /** Returns the output of the process, including that of earlier starts. */
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

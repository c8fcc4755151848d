package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line each, with milliseconds since the start. Thread safe. */
final class CaseRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    CaseRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String text) {
        out.printf("%8d ms  %s%n", (System.nanoTime() - startNanos) / 1_000_000, text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

package org.wigeongrade.command;

import com.google.common.base.CharMatcher;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.wigeongrade.settings.Fault;

/**
 * The files of one declared set, joined into one text that is checked as a whole; faults are traced back to their file.
 *
 * <p>Invariant: the files stand in the joined text in their order, each beginning on a new line. Immutable; safe for
 * use from any thread.
 */
final class DeclaredFiles {
    private final List<Part> parts;

    private DeclaredFiles(List<Part> parts) {
        this.parts = List.copyOf(parts);
    }

    /** One file and the lines before it in the joined text. */
    private record Part(Path file, String text, int linesBefore) {}

    static DeclaredFiles read(List<Path> files) {
        final List<Part> parts = new ArrayList<>();
        int linesBefore = 0;
        for (final Path file : files) {
            final String text = textOf(file);
            parts.add(new Part(file, text, linesBefore));
            linesBefore += CharMatcher.is('\n').countIn(text);
        }
        return new DeclaredFiles(parts);
    }

    private static String textOf(Path file) {
        try {
            final String text = Files.readString(file);
            return text.endsWith("\n") ? text : text + "\n";
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.BAD_FILE,
                    "bad_file",
                    "file " + file + " cannot be read: " + e,
                    "name readable TOML files in UTF-8");
        }
    }

    String joinedText() {
        final StringBuilder joined = new StringBuilder();
        parts.forEach(part -> joined.append(part.text()));
        return joined.toString();
    }

    /** Returns the fault with the file and line that the operator knows. */
    Fault placed(Fault fault) {
        Part holder = parts.get(0);
        for (final Part part : parts) {
            if (part.linesBefore() < fault.line()) {
                holder = part;
            }
        }
        final int line = fault.line() == 0 ? 0 : fault.line() - holder.linesBefore();
        final String file = fault.line() == 0 && parts.size() > 1
                ? "declared set"
                : holder.file().toString();
        return new Fault(file, line, fault.object(), fault.message());
    }
}

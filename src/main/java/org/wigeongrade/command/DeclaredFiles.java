package org.wigeongrade.command;

import com.google.common.base.CharMatcher;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.wigeongrade.settings.Fault;

/**
 * The files of one declared set, joined into one text that is checked as a whole; faults are mapped back to their file.
 *
 * <p>Invariant: the joined text contains the files in the given order, each starting on a new line. Immutable; safe for
 * use from any thread.
 */
final class DeclaredFiles {
    private final List<SourceFile> sources;

    private DeclaredFiles(List<SourceFile> sources) {
        this.sources = List.copyOf(sources);
    }

    /** One file, with the number of lines before it in the joined text. */
    private record SourceFile(Path file, String text, int linesBefore) {}

    static DeclaredFiles read(List<Path> files) {
        final List<SourceFile> sources = new ArrayList<>();
        int linesBefore = 0;
        for (final Path file : files) {
            final String text = readText(file);
            sources.add(new SourceFile(file, text, linesBefore));
            linesBefore += CharMatcher.is('\n').countIn(text);
        }
        return new DeclaredFiles(sources);
    }

    private static String readText(Path file) {
        try {
            final String text = Files.readString(file);
            return text.endsWith("\n") ? text : text + "\n";
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.BAD_FILE,
                    "bad_file",
                    "file " + file + " cannot be read: " + e,
                    "pass readable TOML files in UTF-8");
        }
    }

    String joinedText() {
        final StringBuilder joined = new StringBuilder();
        sources.forEach(source -> joined.append(source.text()));
        return joined.toString();
    }

    /** Returns the fault with its line in the joined text replaced by the file and the line in that file. */
    Fault withFileAndLine(Fault fault) {
        SourceFile sourceOfFault = sources.get(0);
        for (final SourceFile source : sources) {
            if (source.linesBefore() < fault.line()) {
                sourceOfFault = source;
            }
        }
        final int line = fault.line() == 0 ? 0 : fault.line() - sourceOfFault.linesBefore();
        final String file = fault.line() == 0 && sources.size() > 1
                ? "declared set"
                : sourceOfFault.file().toString();
        return new Fault(file, line, fault.object(), fault.message());
    }
}

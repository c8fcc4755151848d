import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Reads the test reports of a build, prints the totals and the known failures, and exits with 1 if a test failed that
 * KNOWN-RED.txt does not list or if no test ran.
 *
 * <p>Usage: java TestReport.java REPORTS_FOLDER KNOWN_RED_FILE
 */
final class TestReport {
    private int testsRun;
    private int failures;
    private int errors;
    private int skipped;
    private final Set<String> failed = new TreeSet<>();
    private final Set<String> passed = new TreeSet<>();

    private TestReport() {}

    public static void main(String[] args) throws Exception {
        final List<String> entries = knownRedEntries(Path.of(args[1]));
        final TestReport report = new TestReport();
        report.readAll(Path.of(args[0]));
        report.print(entries);
        System.exit(report.isGood(entries) ? 0 : 1);
    }

    /** Returns the lines that are neither empty nor comments; each begins with a test, up to the first {@code |}. */
    private static List<String> knownRedEntries(Path file) throws IOException {
        if (!Files.exists(file)) {
            return List.of();
        }
        return Files.readAllLines(file).stream()
                .map(String::strip)
                .filter(line -> !line.isEmpty() && !line.startsWith("#"))
                .toList();
    }

    private void readAll(Path folder) throws Exception {
        if (!Files.isDirectory(folder)) {
            return;
        }
        final List<Path> files = new ArrayList<>();
        try (Stream<Path> found = Files.list(folder)) {
            found.filter(file -> file.getFileName().toString().matches("TEST-.*\\.xml")).forEach(files::add);
        }
        for (final Path file : files) {
            read(file);
        }
    }

    private void read(Path file) throws Exception {
        final NodeList cases = DocumentBuilderFactory.newInstance()
                .newDocumentBuilder()
                .parse(file.toFile())
                .getElementsByTagName("testcase");
        for (int i = 0; i < cases.getLength(); i++) {
            count((Element) cases.item(i));
        }
    }

    private void count(Element testCase) {
        final String name = testCase.getAttribute("classname") + "#" + testCase.getAttribute("name");
        final boolean isFailure = has(testCase, "failure");
        final boolean isError = has(testCase, "error");
        testsRun++;
        failures += isFailure ? 1 : 0;
        errors += isError ? 1 : 0;
        skipped += has(testCase, "skipped") ? 1 : 0;
        (isFailure || isError ? failed : passed).add(name);
    }

    private static boolean has(Element testCase, String tag) {
        return testCase.getElementsByTagName(tag).getLength() > 0;
    }

    private void print(List<String> entries) {
        System.out.println(entries.isEmpty() ? "No known failing tests." : "Known failing tests (KNOWN-RED.txt):");
        for (final String entry : entries) {
            final boolean fails = failed.stream().anyMatch(test -> isListed(test, entry));
            System.out.println("  " + entry + (fails ? "" : "  [did not fail in this run]"));
        }
        failed.stream()
                .filter(test -> entries.stream().noneMatch(entry -> isListed(test, entry)))
                .forEach(test -> System.out.println("Failed and not listed: " + test));
        System.out.printf(
                "Tests run: %d, Failures: %d, Errors: %d, Skipped: %d%n", testsRun, failures, errors, skipped);
    }

    private boolean isGood(List<String> entries) {
        return testsRun > 0
                && failed.stream().allMatch(test -> entries.stream().anyMatch(entry -> isListed(test, entry)));
    }

    /**
     * Returns whether the entry names the test: by method, {@code org.x.SomeTest#method}, or by one invocation of it
     * with parameters and index.
     */
    private static boolean isListed(String test, String entry) {
        final String name = entry.split("\\|", 2)[0].strip();
        return test.equals(name) || test.startsWith(name + "(") || test.startsWith(name + "[");
    }
}

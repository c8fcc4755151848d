package org.wigeongrade.command;

import com.google.common.base.Strings;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.kohsuke.args4j.ClassParser;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.settings.NearestName;

/** Finds, parses and runs a subcommand and reports its errors. Stateless; safe for use from any thread. */
final class CommandLine {
    private static final int HELP_WIDTH = 110;
    private static final ParserProperties PARSER_PROPERTIES =
            ParserProperties.defaults().withUsageWidth(HELP_WIDTH).withShowDefaults(false);
    private static final int NAME_WIDTH = 22;

    private CommandLine() {}

    static ExitCode run(List<String> words, CommandIo io) {
        if (words.isEmpty() || isHelp(words.get(0))) {
            printOverview(words.isEmpty() ? io.err() : io.out());
            return words.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
        }
        final Optional<SubcommandEntry> entry = Subcommands.find(words);
        if (entry.isEmpty()) {
            return ErrorReport.print(unknown(words), io.err());
        }
        return run(entry.get(), words.subList(entry.get().words().size(), words.size()), io);
    }

    private static ExitCode run(SubcommandEntry entry, List<String> arguments, CommandIo io) {
        final Subcommand subcommand = entry.factory().get();
        final CmdLineParser parser = new CmdLineParser(null, PARSER_PROPERTIES);
        subcommand.optionBeans().forEach(bean -> new ClassParser().parse(bean, parser));
        try {
            parser.parseArgument(arguments);
            if (subcommand.helpAsked()) {
                printHelp(entry, subcommand, parser, io.out());
                return ExitCode.OK;
            }
            return subcommand.run(io);
        } catch (CmdLineException e) {
            final String fix = "run 'wigeongrade " + entry.name() + " --help' to see what may stand here";
            return ErrorReport.print(CommandException.usage(e.getMessage(), fix), io.err());
        } catch (CommandException e) {
            return ErrorReport.print(e, io.err());
        } catch (WigeongradeException e) {
            return ErrorReport.print(e, io.err());
        } catch (RuntimeException e) {
            return ErrorReport.printFault(e, io.err());
        }
    }

    private static CommandException unknown(List<String> words) {
        final List<String> names =
                Subcommands.ALL.stream().map(SubcommandEntry::name).toList();
        final String longest = String.join(" ", words.subList(0, Math.min(2, words.size())));
        final String fix = NearestName.find(words.get(0), names)
                .or(() -> NearestName.find(longest, names))
                .map(nearest -> "did you mean 'wigeongrade " + nearest + "'?")
                .orElse("expected one of " + String.join(", ", names));
        return CommandException.usage("'" + words.get(0) + "' is not a subcommand", fix);
    }

    private static boolean isHelp(String word) {
        return word.equals("--help") || word.equals("-h") || word.equals("help");
    }

    private static void printOverview(PrintStream out) {
        out.println("usage: wigeongrade SUBCOMMAND [OPTIONS]");
        out.println();
        for (final SubcommandEntry entry : Subcommands.ALL) {
            out.println("  " + Strings.padEnd(entry.name(), NAME_WIDTH, ' ') + entry.summary());
        }
        out.println();
        out.println("Each subcommand explains itself with --help.");
    }

    private static void printHelp(SubcommandEntry entry, Subcommand subcommand, CmdLineParser parser, PrintStream out) {
        out.println("wigeongrade " + entry.name() + ": " + entry.summary());
        out.println();
        out.println("usage: wigeongrade " + entry.name() + parser.printExample(OptionHandlerFilter.REQUIRED) + " ...");
        out.println();
        parser.printUsage(out);
        if (!subcommand.helpText().isEmpty()) {
            out.println();
            out.println(subcommand.helpText().stripTrailing());
        }
        out.println();
        out.println("exit codes:");
        out.println(Arrays.stream(ExitCode.values())
                .map(code -> "  " + Strings.padStart(Integer.toString(code.value()), 2, ' ') + "  " + code.meaning())
                .collect(Collectors.joining("\n")));
    }
}

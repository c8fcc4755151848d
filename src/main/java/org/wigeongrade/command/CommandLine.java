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

/** Finds a subcommand, parses its options, runs it and prints its errors. Stateless; safe for use from any thread. */
final class CommandLine {
    private static final int HELP_WIDTH = 110;
    private static final ParserProperties PARSER_PROPERTIES =
            ParserProperties.defaults().withUsageWidth(HELP_WIDTH).withShowDefaults(false);
    private static final int SUBCOMMAND_NAME_WIDTH = 22;

    private CommandLine() {}

    static ExitCode run(List<String> arguments, CommandIo io) {
        if (arguments.isEmpty() || isHelpRequest(arguments.get(0))) {
            printOverview(arguments.isEmpty() ? io.err() : io.out());
            return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
        }
        final Optional<SubcommandDefinition> definition = Subcommands.find(arguments);
        if (definition.isEmpty()) {
            return ErrorPrinter.print(unknownSubcommand(arguments), io.err());
        }
        return run(definition.get(), arguments.subList(definition.get().words().size(), arguments.size()), io);
    }

    private static ExitCode run(SubcommandDefinition definition, List<String> arguments, CommandIo io) {
        final Subcommand subcommand = definition.factory().get();
        final CmdLineParser parser = new CmdLineParser(null, PARSER_PROPERTIES);
        subcommand.optionBeans().forEach(bean -> new ClassParser().parse(bean, parser));
        try {
            parser.parseArgument(arguments);
            if (subcommand.isHelpRequested()) {
                printHelp(definition, subcommand, parser, io.out());
                return ExitCode.OK;
            }
            return subcommand.run(io);
        } catch (CmdLineException e) {
            final String fix = "run 'wigeongrade " + definition.name() + " --help' to see what is allowed here";
            return ErrorPrinter.print(CommandException.usage(e.getMessage(), fix), io.err());
        } catch (CommandException e) {
            return ErrorPrinter.print(e, io.err());
        } catch (WigeongradeException e) {
            return ErrorPrinter.print(e, io.err());
        } catch (RuntimeException e) {
            return ErrorPrinter.printUnexpected(e, io.err());
        }
    }

    private static CommandException unknownSubcommand(List<String> words) {
        final List<String> names =
                Subcommands.ALL.stream().map(SubcommandDefinition::name).toList();
        final String firstTwoWords = String.join(" ", words.subList(0, Math.min(2, words.size())));
        final String fix = NearestName.find(words.get(0), names)
                .or(() -> NearestName.find(firstTwoWords, names))
                .map(nearest -> "did you mean 'wigeongrade " + nearest + "'?")
                .orElse("expected one of " + String.join(", ", names));
        return CommandException.usage("'" + words.get(0) + "' is not a subcommand", fix);
    }

    private static boolean isHelpRequest(String argument) {
        return argument.equals("--help") || argument.equals("-h") || argument.equals("help");
    }

    private static void printOverview(PrintStream out) {
        out.println("usage: wigeongrade SUBCOMMAND [OPTIONS]");
        out.println();
        for (final SubcommandDefinition definition : Subcommands.ALL) {
            out.println("  " + Strings.padEnd(definition.name(), SUBCOMMAND_NAME_WIDTH, ' ') + definition.summary());
        }
        out.println();
        out.println("Run a subcommand with --help for its options.");
    }

    private static void printHelp(
            SubcommandDefinition definition, Subcommand subcommand, CmdLineParser parser, PrintStream out) {
        out.println("wigeongrade " + definition.name() + ": " + definition.summary());
        out.println();
        out.println(
                "usage: wigeongrade " + definition.name() + parser.printExample(OptionHandlerFilter.REQUIRED) + " ...");
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

package org.wigeongrade.standin;

import java.util.Arrays;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Starts one stand-in: {@code engine}, {@code service} or {@code weightstore} with its options. Stateless. */
public final class StandinMain {
    private static final int USAGE_STATUS = 2;

    private StandinMain() {}

    public static void main(String[] args) throws Exception {
        if (args.length == 0) {
            System.err.println("first argument is missing; specify the stand-in: engine, service or weightstore");
            System.exit(USAGE_STATUS);
        }
        StandinCommand command = command(args[0]);
        CmdLineParser parser = new CmdLineParser(command);
        try {
            parser.parseArgument(Arrays.asList(args).subList(1, args.length));
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_STATUS);
        }
        command.run();
    }

    /**
     * Returns the options of a stand-in with their defaults; throws {@link IllegalArgumentException} for an unknown
     * name.
     */
    public static StandinCommand command(String name) {
        return switch (name) {
            case "engine" -> new EngineStandin.Options();
            case "service" -> new ServiceStandin.Options();
            case "weightstore" -> new WeightStoreStandin.Options();
            default ->
                throw new IllegalArgumentException(
                        "stand-in '" + name + "' is unknown; use engine, service or weightstore");
        };
    }
}

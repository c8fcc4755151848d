package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.List;
import org.wigeongrade.bench.LoadTool;

/** Runs the load tool. Not safe for use from several threads. */
final class BenchCommand extends Subcommand {
    private final LoadTool tool = new LoadTool();

    @Override
    protected List<Object> optionBeans() {
        return ImmutableList.of(this, tool);
    }

    @Override
    protected ExitCode run(CommandIo io) {
        try {
            tool.run();
            return ExitCode.OK;
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.BAD_FILE,
                    "bad_file",
                    "the report cannot be written: " + e,
                    "pass --out a path prefix whose files can be written");
        }
    }
}

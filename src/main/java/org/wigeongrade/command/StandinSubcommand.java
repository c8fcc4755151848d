package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.logging.LogLevel;
import org.wigeongrade.logging.LogSetup;
import org.wigeongrade.standin.StandinCommand;

/** Runs a stand-in until the process is terminated. Not safe for use from several threads. */
final class StandinSubcommand extends Subcommand {
    private final StandinCommand standin;

    StandinSubcommand(StandinCommand standin) {
        this.standin = standin;
    }

    @Override
    protected List<Object> optionBeans() {
        return ImmutableList.of(this, standin);
    }

    @Override
    protected ExitCode run(CommandIo io) {
        LogSetup.install(LogLevel.WARNING, Optional.empty());
        try {
            standin.run();
            return ExitCode.OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.OK;
        } catch (Exception e) {
            throw new CommandException(
                    ExitCode.INTERNAL,
                    "standin_failed",
                    "the stand-in did not start: " + e,
                    "check that its address is free and its options are correct");
        }
    }
}

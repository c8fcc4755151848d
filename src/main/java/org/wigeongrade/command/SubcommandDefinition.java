package org.wigeongrade.command;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Name, summary and factory of one subcommand; the name is one or two words, for example {@code standin engine}.
 * Immutable; safe for use from any thread.
 */
public record SubcommandDefinition(String name, String summary, Supplier<Subcommand> factory) {
    /** Returns the words of the name. */
    public ImmutableList<String> words() {
        return ImmutableList.copyOf(Splitter.on(' ').split(name));
    }

    /** Returns whether a command line begins with the words of this subcommand. */
    public boolean matches(List<String> commandLine) {
        return commandLine.size() >= words().size()
                && commandLine.subList(0, words().size()).equals(words());
    }
}

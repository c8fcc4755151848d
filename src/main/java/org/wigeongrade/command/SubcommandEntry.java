package org.wigeongrade.command;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Registers a subcommand under one or two words, for example {@code standin engine}. Immutable; safe for use from any
 * thread.
 */
public record SubcommandEntry(String name, String summary, Supplier<Subcommand> factory) {
    /** Returns the words of the name. */
    public ImmutableList<String> words() {
        return ImmutableList.copyOf(Splitter.on(' ').split(name));
    }

    /** Returns whether a command line begins with the words of this entry. */
    public boolean matches(List<String> commandLine) {
        return commandLine.size() >= words().size()
                && commandLine.subList(0, words().size()).equals(words());
    }
}

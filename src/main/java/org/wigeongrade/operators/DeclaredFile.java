package org.wigeongrade.operators;

/** A file of declared objects: its name, for use in messages, and its TOML text. Immutable; thread safe. */
public record DeclaredFile(String name, String text) {}

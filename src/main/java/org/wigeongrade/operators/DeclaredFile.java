package org.wigeongrade.operators;

/** A file of declared objects: its name for messages and its TOML text. Immutable; safe for use from any thread. */
public record DeclaredFile(String name, String text) {}

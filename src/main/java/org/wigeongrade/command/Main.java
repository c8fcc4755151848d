package org.wigeongrade.command;

/** Entry point of the {@code wigeongrade} program. Stateless; safe for use from any thread. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        System.out.println("wigeongrade");
    }
}

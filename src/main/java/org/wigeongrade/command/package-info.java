/** Command line: one class for each subcommand of the {@code wigeongrade} program. */
package org.wigeongrade.command;

/** Numbered log events, their line format and the setup of the log. */
package org.wigeongrade.logging;

/** Numbered log events and the form in which they are written. */
package org.wigeongrade.logging;

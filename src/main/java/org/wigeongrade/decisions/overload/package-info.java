/** Decides which requests go first when not all of them can be served in time. */
package org.wigeongrade.decisions.overload;

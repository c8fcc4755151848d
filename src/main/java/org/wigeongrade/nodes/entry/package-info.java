/** The entry role: holds the view under its lease, hears announcements, and reports to the leader. */
package org.wigeongrade.nodes.entry;

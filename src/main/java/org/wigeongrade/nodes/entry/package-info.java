/** The entry role: holds the view while its lease is valid, receives announcements and reports to the leader. */
package org.wigeongrade.nodes.entry;

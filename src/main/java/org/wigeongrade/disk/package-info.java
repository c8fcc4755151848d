/** Stores the replicated log in a data folder: the log, the snapshot, and the term with the vote. */
package org.wigeongrade.disk;

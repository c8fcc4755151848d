/** The replicated log's files: log, snapshot, and the term with the vote, under one data folder. */
package org.wigeongrade.disk;

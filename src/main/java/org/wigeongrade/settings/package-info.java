/** Settings of one process: the keys, the file format and the checks that run before the node starts. */
package org.wigeongrade.settings;

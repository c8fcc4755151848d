/** Declared objects, the rules that check a whole set, and the configuration revisions. */
package org.wigeongrade.decisions.config;

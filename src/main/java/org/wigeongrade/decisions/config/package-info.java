/** Objects that operators declare, and the rules that check a whole declared set. */
package org.wigeongrade.decisions.config;

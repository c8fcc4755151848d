/** Tests of the load tool. */
package org.wigeongrade.bench;

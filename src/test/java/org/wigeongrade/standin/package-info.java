/** Tests of the stand-ins. */
package org.wigeongrade.standin;

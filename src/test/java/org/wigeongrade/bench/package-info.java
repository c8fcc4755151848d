/** Tests of the load tool and of the share simulation. */
package org.wigeongrade.bench;

/** The closed list of error kinds with the answer that each one gives. */
package org.wigeongrade.errors;

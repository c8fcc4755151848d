/** The closed list of error kinds, and the error responses for them. */
package org.wigeongrade.errors;

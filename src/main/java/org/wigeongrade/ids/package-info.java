/** Value types for identifiers. They depend on no other package of the project. */
package org.wigeongrade.ids;

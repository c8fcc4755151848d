/** The control role: stores published configurations, receives heartbeats, forms groups and answers entry nodes. */
package org.wigeongrade.fleet.control;

/** The control role: keeps what operators publish, hears endpoint VMs, forms groups and answers entry nodes. */
package org.wigeongrade.fleet.control;

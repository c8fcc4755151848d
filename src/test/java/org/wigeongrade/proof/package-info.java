/**
 * Tests with recorded histories: the recorder, consistency checkers, and fault injection tests on separate processes.
 */
package org.wigeongrade.proof;

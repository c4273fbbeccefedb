/**
 * Tests of the system as a whole, and of its architecture.
 */
package org.rattanhead.proof;

/**
 * Tests of decisions on a virtual clock.
 */
package org.rattanhead.decision;

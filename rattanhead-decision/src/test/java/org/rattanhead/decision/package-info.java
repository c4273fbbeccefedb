/**
 * Tests of the decision logic on a virtual clock.
 */
package org.rattanhead.decision;

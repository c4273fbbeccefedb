/**
 * Tests of placement.
 */
package org.rattanhead.decision.placement;

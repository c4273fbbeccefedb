/**
 * Tests of the edge.
 */
package org.rattanhead.decision.edge;

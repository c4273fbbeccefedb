/**
 * Tests of the decisions of the entry daemon.
 */
package org.rattanhead.decision.edge;

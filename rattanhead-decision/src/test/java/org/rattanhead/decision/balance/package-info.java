/**
 * Tests of load balancing on stale information.
 */
package org.rattanhead.decision.balance;

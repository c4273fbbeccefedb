/**
 * Tests of the decisions of the lease holder.
 */
package org.rattanhead.decision.holder;

/**
 * Tests of the lease holder.
 */
package org.rattanhead.decision.holder;

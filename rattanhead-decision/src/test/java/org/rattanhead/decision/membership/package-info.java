/**
 * Tests of membership.
 */
package org.rattanhead.decision.membership;

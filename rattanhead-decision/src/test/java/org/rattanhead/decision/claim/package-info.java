/**
 * Tests of claims: seeded schedules of daemons, log and upstream on a virtual clock.
 */
package org.rattanhead.decision.claim;

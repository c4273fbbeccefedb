/**
 * Tests of claims, among them simulations of daemons, logs and an upstream on seeded
 * schedules and a virtual clock.
 */
package org.rattanhead.decision.claim;

/**
 * Decisions of the daemon that holds the lease of an upstream: queues, slots, memory and
 * the cold-start limit.
 */
package org.rattanhead.decision.holder;

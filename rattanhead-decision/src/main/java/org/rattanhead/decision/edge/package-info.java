/**
 * Decisions of the daemon that a caller reached: admission, choice of upstream, retries,
 * deadlines, delivery.
 */
package org.rattanhead.decision.edge;

/**
 * Decisions for forwarding requests to registered upstream instances: which instance,
 * when to try again, what the caller is told.
 */
package org.rattanhead.decision.forward;

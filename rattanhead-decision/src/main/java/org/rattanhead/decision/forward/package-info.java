/**
 * Decisions for forwarding requests to registered upstream instances: placement, retries
 * and replies to callers.
 */
package org.rattanhead.decision.forward;

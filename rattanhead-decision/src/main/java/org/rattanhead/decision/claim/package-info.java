/**
 * Decisions of the daemon that writes claims. A claim is granted only after it was read
 * back from the log as the first of its key.
 */
package org.rattanhead.decision.claim;

/**
 * Decisions of the daemon that writes claims. A claim is granted only after it has been
 * read back from the log as the first claim on its key.
 */
package org.rattanhead.decision.claim;

package org.rattanhead.daemon.gateway;

/**
 * A configuration waits to be decoded.
 */
record ConfigurationDue() {
}

/**
 * Assigns leases of upstreams to daemons, and requests to upstreams.
 */
package org.rattanhead.decision.placement;

/**
 * Which daemon holds the lease of an upstream, and which upstream a request goes to.
 */
package org.rattanhead.decision.placement;

/**
 * A randomized soak: gateways as separate processes, faults from outside them, and checks
 * of what callers and instances see.
 */
package org.rattanhead.daemon.soak;

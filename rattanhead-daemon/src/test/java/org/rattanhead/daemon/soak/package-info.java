/**
 * A randomized soak test: gateways in separate processes, faults injected from outside,
 * and checks of the requests and answers at callers and instances.
 */
package org.rattanhead.daemon.soak;

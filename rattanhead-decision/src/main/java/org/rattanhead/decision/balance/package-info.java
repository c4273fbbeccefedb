/**
 * Balances load on information that is always slightly stale: how old a daemon's view is,
 * what other daemons have sent since, and which few instances a request is offered to.
 */
package org.rattanhead.decision.balance;

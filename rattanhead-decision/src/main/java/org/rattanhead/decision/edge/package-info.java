/**
 * Decisions of the entry daemon, which received the request from the caller: admission,
 * choice of upstream, retries, deadlines, delivery.
 */
package org.rattanhead.decision.edge;

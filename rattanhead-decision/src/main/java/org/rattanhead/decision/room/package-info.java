/**
 * Estimates when a service has capacity for a request, and when refused callers return.
 */
package org.rattanhead.decision.room;

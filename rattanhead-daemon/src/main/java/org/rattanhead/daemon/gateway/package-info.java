/**
 * A daemon whose routes, instances and other daemons are found on the platform: its
 * duties, the rings between them, and its life cycle.
 */
package org.rattanhead.daemon.gateway;

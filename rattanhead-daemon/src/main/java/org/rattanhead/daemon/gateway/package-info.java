/**
 * The gateway: a daemon that reads routes, instances and other daemons from the platform.
 * Contains the wiring of its duties and rings, and its life cycle.
 */
package org.rattanhead.daemon.gateway;

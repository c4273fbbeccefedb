/**
 * Messages between the daemon that received a request and the daemon that holds the lease
 * of the upstream.
 */
package org.rattanhead.core.work;

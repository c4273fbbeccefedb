/**
 * Messages between the daemon that a caller reached and the daemon that holds the lease
 * of an upstream.
 */
package org.rattanhead.core.work;

/**
 * Hosts and their membership as reported by the platform.
 */
package org.rattanhead.core.host;

/**
 * Clients of the platform's services: the append-only log and the host list.
 */
package org.rattanhead.platform;

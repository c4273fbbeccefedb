/**
 * Keyed records of the platform's store and the updates of them that daemons exchange.
 */
package org.rattanhead.core.keyed;

/**
 * Keyed records of the platform's store and what daemons tell each other of them.
 */
package org.rattanhead.core.keyed;

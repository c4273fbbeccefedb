/**
 * Keyed records in the platform's store: the newest record of each key, and the changes
 * that follow.
 */
package org.rattanhead.platform.keyed;

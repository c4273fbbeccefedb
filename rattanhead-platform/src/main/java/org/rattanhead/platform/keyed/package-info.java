/**
 * Keyed records on the platform: the newest value of each key, and changes as they come.
 */
package org.rattanhead.platform.keyed;

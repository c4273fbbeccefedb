/**
 * Tests of keyed streams.
 */
package org.rattanhead.platform.keyed;
